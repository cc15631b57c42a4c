package org.limpetdoor.runtime.http;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.limits.DecodeBudget;

/**
 * Connections of one event loop that hold bytes which are not decoded. They decode them in turns,
 * one round in each iteration of the loop. Confined to the event loop.
 */
public final class DecodeTurns {
  /** A connection that holds bytes. */
  interface Connection {
    /** Decodes for one turn, may ask for another one, and returns the number of steps. */
    int decodeTurn();
  }

  private final EventExecutor loop;
  private final DecodeBudget budget;
  private final Queue<Connection> waiting = new ArrayDeque<>();
  private boolean scheduled;

  /**
   * Creates an empty queue.
   *
   * @param loop event loop of the connections
   * @param budget length of turns and rounds
   */
  public DecodeTurns(EventExecutor loop, DecodeBudget budget) {
    this.loop = loop;
    this.budget = budget;
  }

  /** Returns whether a connection has used its turn after the given number of steps. */
  boolean endsTurn(int steps) {
    return budget.endsTurn(steps);
  }

  /** Gives the connection a turn after all that wait already. */
  void add(Connection connection) {
    waiting.add(connection);
    schedule();
  }

  /**
   * Plans the next round as a scheduled task: the loop takes these from their queue once in each
   * iteration, while plain tasks that add others are executed without a poll in between.
   */
  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::runRound, 0, TimeUnit.NANOSECONDS);
    }
  }

  private void runRound() {
    scheduled = false;
    int steps = 0;
    for (int turns = waiting.size(); turns > 0 && !budget.endsRound(steps); turns--) {
      steps += waiting.remove().decodeTurn();
    }
    if (!waiting.isEmpty()) {
      schedule();
    }
  }
}
