package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Accelerator memory of one engine according to the log.
 *
 * @param bookings memory of each model that the engine holds, in MiB
 * @param unsized initial models whose memory is not published yet; no load is accepted while there
 *     are any
 * @param pending unsettled intent, if any
 * @param changedOffset offset of the last record that changed the account
 */
public record EngineAccount(
    PMap<ModelId, Integer> bookings,
    PSet<ModelId> unsized,
    Optional<Intent> pending,
    long changedOffset) {
  /** An account without models. */
  static final EngineAccount EMPTY =
      new EngineAccount(HashTreePMap.empty(), HashTreePSet.empty(), Optional.empty(), -1);

  /**
   * An intent that is neither confirmed nor abandoned.
   *
   * @param id identifier of the intent and of its order
   * @param offset offset of the intent in the log, which is the fencing number of its order
   * @param model the model
   * @param memoryMib memory that a load needs, in MiB
   * @param action ordered action
   */
  public record Intent(
      String id, long offset, ModelId model, int memoryMib, PlacementAction action) {
    /** Returns whether the intent is a load. */
    public boolean load() {
      return action.loadedAfter();
    }
  }

  /** Returns the memory that is in use or reserved, in MiB. */
  public long reservedMib() {
    long booked = bookings.values().stream().mapToLong(Integer::longValue).sum();
    return booked + pending.filter(Intent::load).map(Intent::memoryMib).orElse(0);
  }

  /** Returns whether requests may be sent to the engine for a model. */
  public boolean serves(ModelId model) {
    boolean unloading = pending.filter(i -> !i.load() && i.model().equals(model)).isPresent();
    return bookings.containsKey(model) && !unloading;
  }

  EngineAccount withBooking(ModelId model, int memoryMib, long offset) {
    return new EngineAccount(
        bookings.plus(model, memoryMib), unsized.minus(model), pending, offset);
  }

  EngineAccount withoutBooking(ModelId model, long offset) {
    return new EngineAccount(bookings.minus(model), unsized.minus(model), pending, offset);
  }

  EngineAccount withUnsized(ModelId model, long offset) {
    return new EngineAccount(bookings, unsized.plus(model), pending, offset);
  }

  EngineAccount withPending(Optional<Intent> value, long offset) {
    return new EngineAccount(bookings, unsized, value, offset);
  }
}
