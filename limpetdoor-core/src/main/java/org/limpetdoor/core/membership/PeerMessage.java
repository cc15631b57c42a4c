package org.limpetdoor.core.membership;

import java.util.List;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.PMap;
import org.pcollections.PSet;

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

  /**
   * What the sender has in flight and was asked for. It is sent several times a second.
   *
   * @param configurationVersion version of the routes in force, or -1
   * @param storeReachable whether the store answers the sender
   * @param fencingNumber fencing number of its orders if it holds the placement duty, or 0
   * @param inFlight calls at each engine
   * @param gapsMs time between the events of a stream at each engine that is known to be slow now
   * @param adaptersInUse adapters of which calls are in flight
   * @param arrivals calls of each model since the last digest
   * @param lostEngines engines lost by each call since the last digest, by fingerprint
   */
  record LoadDigest(
      long configurationVersion,
      boolean storeReachable,
      long fencingNumber,
      PMap<BackendId, Integer> inFlight,
      PMap<BackendId, Integer> gapsMs,
      PSet<ModelKey> adaptersInUse,
      PMap<ModelKey, Integer> arrivals,
      PMap<Long, Integer> lostEngines)
      implements PeerMessage {}

  /**
   * Calls of the sender wait for a model or adapter that no engine holds.
   *
   * @param service service that they go to
   * @param key the model or adapter
   */
  record ModelWanted(String service, ModelKey key) implements PeerMessage {}

  /**
   * An engine has loaded or dropped something at the order of the sender.
   *
   * @param engine the engine
   * @param startedAtMs when the engine started, in Unix milliseconds
   * @param ordersAccepted orders that it has accepted
   * @param key the model or adapter
   * @param held whether it holds it now
   */
  record HoldingChanged(
      BackendId engine, long startedAtMs, long ordersAccepted, ModelKey key, boolean held)
      implements PeerMessage {}

  /**
   * The sender held the placement duty and gives no orders any more, because the store does not
   * answer it.
   *
   * @param fencingNumber its last fencing number
   */
  record DutyDropped(long fencingNumber) implements PeerMessage {}

  /**
   * The sender shuts down while the store is away, and hands the placement duty to the receiver.
   *
   * @param fencingNumber fencing number of the receiver's orders
   */
  record DutyHanded(long fencingNumber) implements PeerMessage {}

  /** The sender is shutting down. */
  record Leaving() implements PeerMessage {}
}
