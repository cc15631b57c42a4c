package org.limpetdoor.core.membership;

import java.util.List;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;

/** What one instance tells another. Each message may be lost or arrive twice. */
public sealed interface PeerMessage {
  /**
   * The sender is alive.
   *
   * @param nextOffset offset of the next record that it folds
   * @param limitEpoch limit epoch that it acts on, or -1 before the first
   */
  record Heartbeat(long nextOffset, long limitEpoch) implements PeerMessage {}

  /**
   * The sender needs more of a customer's limit.
   *
   * @param number identifies the request at its sender
   * @param limitEpoch limit epoch that it acts on
   * @param customer the customer
   * @param wanted part that it asks for, from 0 to 1
   */
  record ShareRequest(long number, long limitEpoch, CustomerId customer, double wanted)
      implements PeerMessage {
    /** Checks ranges. */
    public ShareRequest {
      Ranges.within("wanted", wanted, 0, 1);
    }
  }

  /**
   * The sender has lowered its own part in favour of the receiver.
   *
   * @param number number of the request that is answered
   * @param limitEpoch limit epoch that the part belongs to
   * @param customer the customer
   * @param part part that is handed over, from 0 to 1
   */
  record ShareGrant(long number, long limitEpoch, CustomerId customer, double part)
      implements PeerMessage {
    /** Checks ranges. */
    public ShareGrant {
      Ranges.within("part", part, 0, 1);
    }
  }

  /**
   * A back end is going away.
   *
   * @param backend the back end
   */
  record BackendLeaving(BackendId backend) implements PeerMessage {}

  /**
   * Requests that may crash engines.
   *
   * @param fingerprints fingerprints of their models and bodies
   */
  record CrashSuspects(List<String> fingerprints) implements PeerMessage {
    /** Copies the fingerprints. */
    public CrashSuspects {
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /** The sender is shutting down. */
  record Leaving() implements PeerMessage {}
}
