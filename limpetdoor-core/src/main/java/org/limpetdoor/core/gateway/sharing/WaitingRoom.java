package org.limpetdoor.core.gateway.sharing;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.gateway.sharing.FairOrder.Ranked;

/**
 * Decides at the arrival of a call that finds no place which call is refused, if any. It answers
 * the load at which more calls arrive than can be started: a call that waits in vain loses the time
 * in which its caller could return, and the room that it takes belongs to accounts that have used
 * less of their claim.
 *
 * <p>The room is as large as the number of places that come free before the calls must start. If
 * the new call doesn't fit, it is refused. If it takes the place of another, the last one in the
 * order that doesn't fit is refused, unless it has waited for long: that one had a prospect of
 * being started, and may still be.
 *
 * @param forecast when places come free
 * @param level use relative to the claim up to which accounts are served at present
 */
public record WaitingRoom(PlaceForecast forecast, double level) {
  /**
   * A waiting call that competes with the new one.
   *
   * @param rank the call, with its place in the order
   * @param weight part of its engines that the new call can use too, from 0 to 1
   * @param leftMs time until it must be started, in milliseconds
   * @param mayGiveWay whether it has never been sent and has waited only for a short time
   */
  public record Competitor(Ranked rank, double weight, long leftMs, boolean mayGiveWay) {
    private long id() {
      return rank.call().id();
    }
  }

  /**
   * A refusal.
   *
   * @param id number of the call
   * @param cause why it is refused
   * @param startsInMs time until a call in its place would be started, in milliseconds
   */
  public record Refusal(long id, FailureCause cause, long startsInMs) {}

  /**
   * Returns which call is refused.
   *
   * @param ordered waiting calls, with the new one, in the order in which they are served
   * @param newCall number of the new call
   */
  public Optional<Refusal> refused(List<Competitor> ordered, long newCall) {
    if (!forecast.known()) {
      return Optional.empty();
    }
    Optional<Refusal> last = Optional.empty();
    Optional<Competitor> seen = Optional.empty();
    double sum = 0;
    for (Competitor call : ordered) {
      double ahead = sum;
      double startsInMs = startsInMs(call, ahead, 0);
      if (call.id() == newCall) {
        seen = Optional.of(call);
      }
      if (startsInMs > call.leftMs()) {
        // The forecast holds for the engines of the new call; others may use more.
        boolean sameEngines = call.weight() == 1;
        if (call.id() == newCall
            || seen.filter(added -> displaces(added, call, ahead)).isPresent()) {
          return refusal(newCall, FailureCause.NO_PLACE_IN_TIME, startsInMs);
        }
        last =
            call.mayGiveWay() && sameEngines
                ? refusal(call.id(), FailureCause.GAVE_WAY, startsInMs)
                : last;
      }
      sum += call.weight();
    }
    return last;
  }

  /**
   * Returns whether a new call takes the prospect of an earlier call of its own account, which has
   * waited for too long to be refused. Otherwise short calls would be let in without end, and long
   * ones would wait in vain.
   */
  private boolean displaces(Competitor added, Competitor call, double ahead) {
    return added.rank().call().account().equals(call.rank().call().account())
        && !call.mayGiveWay()
        && startsInMs(call, ahead - added.weight(), added.rank().length()) <= call.leftMs();
  }

  /**
   * Returns the time until a call is started, in milliseconds.
   *
   * @param ahead number of calls that are served before it
   * @param without part of its start tag that isn't counted
   */
  private double startsInMs(Competitor call, double ahead, double without) {
    double decaysInMs = call.rank().decaysInMs(level + without);
    // A call that is served next has a prospect, however rarely places come free.
    return ahead <= 0 && decaysInMs == 0 ? 0 : Math.max(forecast.startsInMs(ahead), decaysInMs);
  }

  private static Optional<Refusal> refusal(long id, FailureCause cause, double startsInMs) {
    return Optional.of(new Refusal(id, cause, (long) Math.ceil(startsInMs)));
  }
}
