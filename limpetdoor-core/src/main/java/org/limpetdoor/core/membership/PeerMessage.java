package org.limpetdoor.core.membership;

import java.util.List;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.gateway.CrashReport;
import org.limpetdoor.core.gateway.EngineListing;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.gateway.RouteTable;
import org.limpetdoor.core.gateway.StorePosition;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.limits.UseReport;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** A message between instances. Each message may be lost or arrive twice. */
public sealed interface PeerMessage {
  /**
   * The sender is alive.
   *
   * @param nextOffset offset of the next record that the sender folds
   * @param limitEpoch limit epoch that the sender applies, or -1 before the first
   */
  record Heartbeat(long nextOffset, long limitEpoch) implements PeerMessage {}

  /**
   * The sender requests a larger share of a customer's limit.
   *
   * @param number number of the request, unique at its sender
   * @param limitEpoch limit epoch that the sender applies
   * @param customer the customer
   * @param requested requested share of the limit, from 0 to 1
   */
  record ShareRequest(long number, long limitEpoch, CustomerId customer, double requested)
      implements PeerMessage {
    /** Checks ranges. */
    public ShareRequest {
      Ranges.within("wanted", requested, 0, 1);
    }
  }

  /**
   * The sender has lowered its own share and transfers the difference to the receiver.
   *
   * @param number number of the answered request
   * @param limitEpoch limit epoch that the share belongs to
   * @param customer the customer
   * @param share transferred share of the limit, from 0 to 1
   */
  record ShareGrant(long number, long limitEpoch, CustomerId customer, double share)
      implements PeerMessage {
    /** Checks ranges. */
    public ShareGrant {
      Ranges.within("part", share, 0, 1);
    }
  }

  /**
   * A back end is leaving.
   *
   * @param backend the leaving back end
   */
  record BackendLeaving(BackendId backend) implements PeerMessage {}

  /**
   * Requests that are suspected of crashing engines.
   *
   * @param fingerprints fingerprints of model and body of each request
   */
  record CrashSuspects(List<String> fingerprints) implements PeerMessage {
    /** Copies the fingerprints. */
    public CrashSuspects {
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /**
   * Load and demand of the instances that the digest covers. It is sent several times a second.
   *
   * @param scope instances that the digest covers
   * @param times times that bound the age of the digest
   * @param facts what the sender knows of the store's contents
   * @param fencingNumber fencing number of the sender's orders if it holds the placement duty, or 0
   * @param inFlight number of calls in flight at each engine
   * @param gapsMs time between the events of a stream at each engine that is currently slow, in
   *     milliseconds
   * @param adaptersInUse adapters with calls in flight; empty in a digest of the fleet
   * @param arrivals number of calls that arrived for each model since the last digest; empty in a
   *     digest of the fleet
   * @param use use of the client accounts that have a limit
   * @param crashReports evidence of contents that crash engines that has changed since the last
   *     digest to the receiver
   */
  record LoadDigest(
      DigestScope scope,
      DigestTimes times,
      StoreFacts facts,
      long fencingNumber,
      PMap<BackendId, Integer> inFlight,
      PMap<BackendId, Integer> gapsMs,
      PSet<ModelKey> adaptersInUse,
      PMap<ModelKey, Integer> arrivals,
      UseReport use,
      List<CrashReport> crashReports)
      implements PeerMessage {
    /** Copies the reports. */
    public LoadDigest {
      crashReports = List.copyOf(crashReports);
    }

    /**
     * Returns whether a receiver of the other digest learns nothing new from this one but that its
     * sender is live. Calls and reports since the last digest are always new. Use of accounts,
     * which changes with each call, is not compared.
     */
    public boolean saysTheSameAs(LoadDigest other) {
      return arrivals.isEmpty()
          && crashReports.isEmpty()
          && scope == other.scope
          && fencingNumber == other.fencingNumber
          && facts.configurationVersion() == other.facts.configurationVersion()
          && facts.listPosition().equals(other.facts.listPosition())
          && facts.storeReachable() == other.facts.storeReachable()
          && inFlight.equals(other.inFlight)
          && gapsMs.equals(other.gapsMs)
          && adaptersInUse.equals(other.adaptersInUse);
    }
  }

  /**
   * Times of a digest. The clocks of two instances are not compared: the age of a digest is bounded
   * by the receiver's own time that it echoes.
   *
   * @param sentAtMs time of sending, in monotonic milliseconds of the sender
   * @param echoedAtMs {@code sentAtMs} of the last digest that the sender received from the
   *     receiver, in monotonic milliseconds of the receiver; 0 if there was none
   */
  record DigestTimes(long sentAtMs, long echoedAtMs) {}

  /**
   * What an instance knows of the store's contents.
   *
   * @param configurationVersion version of the routes in force, or -1
   * @param listPosition end of the list of engines that was read
   * @param storeReachable whether the store answers the instance
   * @param ageMs age of these facts, in milliseconds
   */
  record StoreFacts(
      long configurationVersion, StorePosition listPosition, boolean storeReachable, long ageMs) {}

  /**
   * The sender requests the routes and the list of engines, if the receiver has later ones.
   *
   * @param configurationVersion version of the routes in force at the sender, or -1
   * @param listPosition end of the list of engines at the sender
   * @param withInstances whether the sender also needs the list of instances
   */
  record FactsRequested(
      long configurationVersion, StorePosition listPosition, boolean withInstances)
      implements PeerMessage {}

  /**
   * The sender has read a version of the routes.
   *
   * @param table the routes
   */
  record RoutesPassedOn(RouteTable table) implements PeerMessage {}

  /**
   * The sender has read changes of the list of engines, or the complete list.
   *
   * @param list the changes
   */
  record EnginesPassedOn(EngineListing list) implements PeerMessage {}

  /**
   * The sender has read the list of instances.
   *
   * @param instances the complete list
   */
  record InstancesPassedOn(List<ListedInstance> instances) implements PeerMessage {
    /** Copies the list. */
    public InstancesPassedOn {
      instances = List.copyOf(instances);
    }
  }

  /**
   * The sender requests a model or adapter, because calls wait for it and no engine holds it.
   *
   * @param service service that the calls go to
   * @param key the model or adapter
   */
  record ModelRequested(String service, ModelKey key) implements PeerMessage {}

  /**
   * An engine has loaded or unloaded a model or adapter on an order of the sender.
   *
   * @param engine the engine
   * @param startedAtMs start time of the engine, in Unix milliseconds
   * @param ordersAccepted number of orders that the engine has accepted since its start
   * @param key the model or adapter
   * @param held whether the engine now holds it
   */
  record LoadedModelChanged(
      BackendId engine, long startedAtMs, long ordersAccepted, ModelKey key, boolean held)
      implements PeerMessage {}

  /**
   * The sender has released the placement duty, because the store does not answer it. It sends no
   * further orders.
   *
   * @param fencingNumber last fencing number of the sender
   */
  record DutyReleased(long fencingNumber) implements PeerMessage {}

  /**
   * The sender shuts down while the store is unreachable, and hands the placement duty over to the
   * receiver.
   *
   * @param fencingNumber fencing number for the receiver's orders
   */
  record DutyHandedOver(long fencingNumber) implements PeerMessage {}

  /** The sender is shutting down. */
  record Leaving() implements PeerMessage {}
}
