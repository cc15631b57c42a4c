package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

/**
 * State of the placement duty, the right to order models and adapters, which one instance holds at
 * a time. The store grants it. While the store is unreachable, a holder that shuts down hands it
 * over to a peer.
 *
 * @param term era and generation of the group that the store last reported
 * @param handovers number of handovers since the store granted the duty in that generation
 * @param held whether the duty was granted or handed over to this instance
 * @param heldSinceMs time at which this instance got the duty, in monotonic milliseconds
 * @param validUntilMs time until which the store cannot have granted the duty to another instance,
 *     in monotonic milliseconds
 * @param ordersFromMs time from which no order of the previous holder can be in flight any more, in
 *     monotonic milliseconds
 * @param nextRequestAtMs time of the next request to the store, in monotonic milliseconds
 * @param otherHolder last other instance that reported holding the duty
 */
record Duty(
    DutyTerm term,
    int handovers,
    boolean held,
    long heldSinceMs,
    long validUntilMs,
    long ordersFromMs,
    long nextRequestAtMs,
    OtherHolder otherHolder) {
  /** State before the first response from the store. */
  static final Duty NONE = new Duty(DutyTerm.NONE, 0, false, 0, 0, 0, 0, OtherHolder.NONE);

  /**
   * Time without a request after which the store grants the duty to another instance, in
   * milliseconds.
   */
  static final long TTL_MS = 1_500;

  /**
   * Interval of requests to the store, in milliseconds; two may be lost before the duty expires.
   */
  static final long REQUEST_INTERVAL_MS = 450;

  /** Margin for clock drift and for orders in flight when the duty expires, in milliseconds. */
  static final long MARGIN_MS = 300;

  /**
   * Maximum number of missed generations for which the last reported holder is still assumed to be
   * the previous one. Each change of the group, such as an instance that leaves along with the
   * holder, adds a generation.
   */
  private static final long MAX_GENERATIONS_MISSED = 4;

  /** The monotonic clock of a process starts at zero. */
  private static final long PROCESS_START_MS = 0;

  /**
   * Time for which a holder keeps an expired duty without sending orders, in milliseconds. If the
   * store answers no instance, the peers report so within this time, and the holder continues.
   */
  private static final long EXPIRY_GRACE_MS = 1_200;

  /**
   * Value of {@code lastReceivedAtMs} for a holder that has stopped, in monotonic milliseconds. It
   * lies so far in the past that no instance waits for the lease of that holder.
   */
  private static final long STOPPED_HOLDER_RECEIVED_AT_MS = -1_000_000;

  /**
   * Another instance that reported in its digests that it holds the duty.
   *
   * @param peer name of the instance; empty if no such report was received
   * @param fencingNumber its last fencing number
   * @param lastReceivedAtMs time at which its last report was received, in monotonic milliseconds
   */
  record OtherHolder(Optional<InstanceId> peer, long fencingNumber, long lastReceivedAtMs) {
    static final OtherHolder NONE = new OtherHolder(Optional.empty(), 0, 0);
  }

  /** Returns whether this instance may send orders now. */
  boolean maySendOrders(long nowMs) {
    return held && !superseded() && nowMs < validUntilMs && nowMs >= ordersFromMs;
  }

  /**
   * Returns whether this instance held the duty when the store stopped answering, and may send
   * orders while the store answers no instance.
   */
  boolean mayContinueWithoutStore(long nowMs) {
    return held && !superseded() && nowMs >= ordersFromMs;
  }

  /**
   * Applies a response from the store, unless its term is older than the known one. The duty is
   * granted anew only with a new fencing number: the generation rises with each change of the
   * holder, so a late answer in the same generation renews it.
   */
  Duty withStoreResponse(
      DutyAnswered response, long nowMs, GatewaySettings settings, boolean otherHolderSilent) {
    boolean askedBeforeSuspension = !held && response.requestedAtMs() < heldSinceMs;
    DutyTerm reported = new DutyTerm(response.era(), response.generation());
    if (reported.compareTo(term) < 0 || askedBeforeSuspension) {
      return this;
    }
    int handoversAfter = handoversAfter(response.held(), reported);
    boolean renewed = held && reported.equals(term) && handoversAfter == handovers;
    boolean granted = response.held() && !renewed;
    return new Duty(
        reported,
        handoversAfter,
        response.held(),
        granted ? nowMs : heldSinceMs,
        response.held() ? response.requestedAtMs() + TTL_MS - MARGIN_MS : 0,
        granted ? firstOrderMs(reported, nowMs, settings, otherHolderSilent) : ordersFromMs,
        nextRequestAtMs,
        otherHolder);
  }

  /**
   * Returns the number of handovers in the generation that the store reports. If the duty was
   * handed over while the store was unreachable, and the store then grants it to the same member
   * again, the generation is the old one, but engines have seen a higher fencing number.
   */
  private int handoversAfter(boolean granted, DutyTerm reported) {
    int own = reported.equals(term) ? handovers : 0;
    boolean handedOver = DutyTerm.of(otherHolder.fencingNumber()).equals(reported);
    int others = handedOver ? DutyTerm.handovers(otherHolder.fencingNumber()) : -1;
    return granted && others >= own ? others + 1 : own;
  }

  /**
   * Returns the time from which a new holder may send orders. Orders of two holders must not
   * alternate within a lease, so the new holder waits, unless the previous one is known and silent:
   * that one has then failed or is cut off from the others, and sends no orders. If no holder has
   * been reported since this process started, the lease counts from that start, because a holder
   * that is still active would have sent a report since. No wait is needed then if engines check
   * fencing numbers, because they refuse the orders of the previous holder.
   */
  private long firstOrderMs(
      DutyTerm reported, long nowMs, GatewaySettings settings, boolean otherHolderSilent) {
    long waitMs = settings.leaseMs() + MARGIN_MS;
    if (otherHolder.fencingNumber() == 0) {
      return settings.fencingEnforced() ? nowMs : Math.max(PROCESS_START_MS + waitMs, ordersFromMs);
    }
    if (reported.isFarAfter(DutyTerm.of(otherHolder.fencingNumber()), MAX_GENERATIONS_MISSED)) {
      return nowMs + waitMs;
    }
    return otherHolderSilent ? nowMs : otherHolder.lastReceivedAtMs() + waitMs;
  }

  /**
   * Returns the state in a later era, in which nothing was granted yet. A grant of the earlier era
   * does not hold: the restored store may not know it, and grant the duty to another instance
   * without waiting for its end. Engines that do not check fencing numbers may still get orders of
   * a holder that learns of the era later, so the next holder waits for its lease.
   */
  Duty inEra(long era, long nowMs, GatewaySettings settings) {
    long leaseEndMs =
        settings.fencingEnforced() ? ordersFromMs : nowMs + settings.leaseMs() + MARGIN_MS;
    return new Duty(
        new DutyTerm(era, 0),
        0,
        false,
        heldSinceMs,
        0,
        Math.max(ordersFromMs, leaseEndMs),
        nowMs,
        otherHolder);
  }

  Duty withRequestSent(long nowMs) {
    return new Duty(
        term,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        ordersFromMs,
        nowMs + REQUEST_INTERVAL_MS,
        otherHolder);
  }

  /** Returns the fencing number of orders; it rises with each change of the holder. */
  long fencingNumber() {
    return term.fencingNumber(handovers);
  }

  /** Returns whether the generation has a fencing number left for a handover to a peer. */
  boolean mayBeHandedOver() {
    return handovers + 1 < DutyTerm.NUMBERS_PER_GENERATION;
  }

  /** Applies a handover from a holder that shuts down while the store is unreachable. */
  Duty withHandover(long fencingNumber, long nowMs) {
    return new Duty(
        DutyTerm.of(fencingNumber),
        DutyTerm.handovers(fencingNumber),
        true,
        nowMs,
        nowMs,
        nowMs,
        nextRequestAtMs,
        otherHolder);
  }

  /**
   * Releases the duty: at a shutdown, after it has expired, or after an engine has seen a higher
   * fencing number.
   */
  Duty released() {
    return new Duty(
        term, handovers, false, heldSinceMs, 0, ordersFromMs, nextRequestAtMs, otherHolder);
  }

  /**
   * Ends the duty until the store confirms it on a request sent from now on, because the time for
   * which it was granted may have passed unnoticed.
   */
  Duty afterSuspension(long nowMs) {
    return new Duty(term, handovers, false, nowMs, 0, ordersFromMs, nowMs, otherHolder);
  }

  /**
   * Records that a peer reports holding the duty. Reports with an older fencing number are ignored.
   */
  Duty withHolderReport(InstanceId peer, long fencingNumber, long nowMs) {
    boolean newer = fencingNumber >= otherHolder.fencingNumber();
    return newer ? withOtherHolder(new OtherHolder(Optional.of(peer), fencingNumber, nowMs)) : this;
  }

  /**
   * Records that the other holder sends no more orders. An instance that holds the duty then need
   * not wait for the rest of the lease.
   */
  Duty withOtherHolderStopped(long fencingNumber, long nowMs) {
    if (fencingNumber == 0 || fencingNumber != otherHolder.fencingNumber()) {
      return this;
    }
    OtherHolder stopped =
        new OtherHolder(otherHolder.peer(), fencingNumber, STOPPED_HOLDER_RECEIVED_AT_MS);
    long firstOrderMs = Math.min(ordersFromMs, nowMs);
    return new Duty(
        term,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        held ? firstOrderMs : ordersFromMs,
        nextRequestAtMs,
        stopped);
  }

  /**
   * Records that a peer does not report holding the duty; if it was the other holder, it has
   * stopped sending orders.
   */
  Duty withPeerNotHolding(InstanceId peer, long nowMs) {
    boolean samePeer = otherHolder.peer().filter(peer::equals).isPresent();
    return samePeer ? withOtherHolderStopped(otherHolder.fencingNumber(), nowMs) : this;
  }

  /** Returns whether a peer has reported a higher fencing number. */
  boolean superseded() {
    return otherHolder.fencingNumber() > fencingNumber();
  }

  /** Returns whether the duty was held and has expired, because the store did not answer. */
  boolean expired(long nowMs) {
    return held && nowMs >= validUntilMs + EXPIRY_GRACE_MS;
  }

  private Duty withOtherHolder(OtherHolder value) {
    return new Duty(
        term, handovers, held, heldSinceMs, validUntilMs, ordersFromMs, nextRequestAtMs, value);
  }
}
