package org.limpetdoor.standin.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.DelayedEffects;
import org.limpetdoor.standin.StandinState;
import org.limpetdoor.standin.effect.AcceptConnections;
import org.limpetdoor.standin.effect.CloseAllConnections;
import org.limpetdoor.standin.effect.EndStream;
import org.limpetdoor.standin.effect.SendChunk;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;
import org.limpetdoor.standin.effect.StartStream;
import org.pcollections.HashTreePMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * State of an engine. A crash keeps the loaded models and the fencing number, but drops all jobs.
 *
 * @param settings settings
 * @param memory accelerator memory with the loaded models
 * @param running jobs that occupy a slot
 * @param queued jobs that wait for a slot, in order of arrival
 * @param faults active faults
 * @param delayedEffects responses to orders that are still being carried out
 */
public record EngineState(
    EngineSettings settings,
    Memory memory,
    PVector<Job> running,
    PVector<Job> queued,
    EngineFaults faults,
    DelayedEffects delayedEffects)
    implements StandinState<EngineState> {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  static EngineState initial(EngineSettings settings) {
    return new EngineState(
        settings,
        new Memory(settings.capacityMib(), HashTreePMap.from(settings.models()), 0),
        TreePVector.empty(),
        TreePVector.empty(),
        EngineFaults.NONE,
        DelayedEffects.NONE);
  }

  @Override
  public long nextDeadlineMs() {
    long next = Math.min(delayedEffects.nextDeadlineMs(), nextTokenMs());
    return Math.min(next, Math.min(faults.crashAtMs(), faults.restartAtMs()));
  }

  @Override
  public Transition<EngineState, StandinEffect> advance(long nowMs) {
    return new Transition<EngineState, StandinEffect>(
            withDelayedEffects(delayedEffects.dueAfter(nowMs)), delayedEffects.dueAt(nowMs))
        .then(s -> s.produceTokens(nowMs))
        .then(s -> s.faults.crashAtMs() <= nowMs ? s.crash(nowMs) : Transition.of(s))
        .then(s -> s.faults.restartAtMs() <= nowMs ? s.restart() : Transition.of(s));
  }

  Transition<EngineState, StandinEffect> acceptCompletion(Job job, long nowMs) {
    if (faults.draining()) {
      Map<String, String> headers =
          Map.of("Limpetdoor-Not-Started", "true", "Limpetdoor-Load", loadHeader());
      return Transition.of(
          this,
          new SendResponse(job.exchangeId(), UNAVAILABLE, Map.of("error", "draining"), headers));
    }
    if (!memory.models().containsKey(job.model())) {
      return Transition.of(this, SendResponse.error(job.exchangeId(), NOT_FOUND, "unknown model"));
    }
    if (faults.crashesOn(job.prompt())) {
      return crash(nowMs);
    }
    return withJobs(running, queued.plus(job)).fillSlots(nowMs);
  }

  /** Ends the answer of an attempt. A cancelled stream ends without the final event. */
  Transition<EngineState, StandinEffect> cancel(long exchangeId, String attempt, long nowMs) {
    Optional<Job> found = findJob(job -> job.attempt().equals(attempt));
    if (found.isEmpty()) {
      return Transition.of(this, SendResponse.error(exchangeId, NOT_FOUND, "unknown attempt"));
    }
    Job job = found.get();
    boolean started = job.stream() && running.contains(job);
    StandinEffect finalEffect =
        started
            ? new EndStream(job.exchangeId())
            : SendResponse.error(job.exchangeId(), CONFLICT, "cancelled");
    return Transition.<EngineState, StandinEffect>of(this, finalEffect)
        .then(s -> s.removeJob(job, nowMs))
        .with(SendResponse.ok(exchangeId, Map.of("cancelled", attempt)));
  }

  /**
   * Changes the priority of an attempt. Has no effect on a running job, as only the queue is
   * ordered by priority.
   */
  Transition<EngineState, StandinEffect> changePriority(
      long exchangeId, String attempt, int priority) {
    Optional<Job> waiting =
        queued.stream().filter(job -> job.attempt().equals(attempt)).findFirst();
    EngineState changed =
        waiting
            .map(job -> withJobs(running, queued.minus(job).plus(job.withPriority(priority))))
            .orElse(this);
    return Transition.of(changed, SendResponse.ok(exchangeId, Map.of("priority", priority)));
  }

  /** Drops the job of a client that has closed its connection. */
  Transition<EngineState, StandinEffect> cancelDisconnected(long exchangeId, long nowMs) {
    return findJob(job -> job.exchangeId() == exchangeId)
        .map(job -> removeJob(job, nowMs))
        .orElseGet(() -> Transition.of(this));
  }

  Transition<EngineState, StandinEffect> executeOrder(long exchangeId, Order order, long nowMs) {
    boolean checked = settings.refusesOldFencingNumbers();
    if (checked && order.fencingNumber() < memory.highestFencingNumber()) {
      return respondToOrder(exchangeId, order, OrderResult.STALE_FENCING_NUMBER);
    }
    Memory fenced = checked ? memory.withFencingNumber(order.fencingNumber()) : memory;
    boolean inUse = findJob(job -> job.model().equals(order.model())).isPresent();
    OrderResult result = order.action().check(fenced, order, inUse);
    if (result != OrderResult.DONE) {
      return withMemory(fenced).respondToOrder(exchangeId, order, result);
    }
    // Memory is reserved when a load starts, so that two loads cannot use the same free memory.
    EngineState changed = withMemory(order.action().applyTo(fenced, order));
    long durationMs = order.action().durationMs(settings);
    return durationMs == 0
        ? changed.respondToOrder(exchangeId, order, result)
        : Transition.of(
            changed.withDelayedEffects(
                delayedEffects.plus(nowMs + durationMs, orderResponse(exchangeId, order, result))));
  }

  SendResponse healthResponse(long exchangeId) {
    return faults.draining()
        ? new SendResponse(exchangeId, UNAVAILABLE, Map.of("status", "draining"), Map.of())
        : SendResponse.ok(exchangeId, Map.of("status", "up"));
  }

  SendResponse loadResponse(long exchangeId) {
    return SendResponse.ok(exchangeId, Map.of("running", running.size(), "queued", queued.size()));
  }

  /** Stops the output of all running jobs without ending them. */
  EngineState silenceRunning() {
    return withJobs(mapJobs(running, job -> job.withNextTokenAt(NEVER_MS)), queued);
  }

  /** Resumes the output of silenced jobs. */
  Transition<EngineState, StandinEffect> resumeSilent(long nowMs) {
    return withJobs(
            mapJobs(
                running, job -> job.nextTokenMs() == NEVER_MS ? job.withNextTokenAt(nowMs) : job),
            queued)
        .produceTokens(nowMs);
  }

  private Transition<EngineState, StandinEffect> produceTokens(long nowMs) {
    Transition<EngineState, StandinEffect> transition = Transition.of(this);
    while (transition.state().nextTokenMs() <= nowMs) {
      transition = transition.then(EngineState::produceNextToken);
    }
    return transition;
  }

  private Transition<EngineState, StandinEffect> produceNextToken() {
    Job job = running.stream().min(Comparator.comparingLong(Job::nextTokenMs)).orElseThrow();
    long dueMs = job.nextTokenMs();
    if (job.finished()) {
      return finishJob(job, dueMs);
    }
    Job next = job.afterToken(dueMs + intervalMs());
    EngineState state = withJobs(running.with(running.indexOf(job), next), queued);
    Transition<EngineState, StandinEffect> sent =
        job.stream()
            ? Transition.of(
                state,
                new SendChunk(
                    job.exchangeId(), CompletionBody.chunk(job, job.token(job.nextToken()))))
            : Transition.of(state);
    return next.finished() ? sent.then(s -> s.finishJob(next, dueMs)) : sent;
  }

  private Transition<EngineState, StandinEffect> finishJob(Job job, long nowMs) {
    List<StandinEffect> finalEffects =
        job.stream()
            ? List.of(
                new SendChunk(job.exchangeId(), CompletionBody.END_OF_STREAM),
                new EndStream(job.exchangeId()))
            : List.of(
                new SendResponse(
                    job.exchangeId(), 200, CompletionBody.fullResponse(job), loadHeaders()));
    return new Transition<>(this, finalEffects).then(s -> s.removeJob(job, nowMs));
  }

  private Transition<EngineState, StandinEffect> removeJob(Job job, long nowMs) {
    return withJobs(running.minus(job), queued.minus(job)).fillSlots(nowMs);
  }

  private Transition<EngineState, StandinEffect> fillSlots(long nowMs) {
    Transition<EngineState, StandinEffect> transition = Transition.of(this);
    while (!transition.state().queued.isEmpty()
        && transition.state().running.size() < settings.slots()) {
      transition = transition.then(s -> s.startNextJob(nowMs));
    }
    return transition;
  }

  private Transition<EngineState, StandinEffect> startNextJob(long nowMs) {
    // Of jobs with equal priority, min() returns the first, so they start in order of arrival.
    Job job = queued.stream().min(Comparator.comparingInt(Job::priority)).orElseThrow();
    EngineState next =
        withJobs(running.plus(job.withNextTokenAt(nowMs + intervalMs())), queued.minus(job));
    return job.stream()
        ? Transition.of(next, new StartStream(job.exchangeId(), next.loadHeaders()))
        : Transition.of(next);
  }

  private Transition<EngineState, StandinEffect> crash(long nowMs) {
    return Transition.of(
        withJobs(TreePVector.empty(), TreePVector.empty())
            .withDelayedEffects(DelayedEffects.NONE)
            .withFaults(faults.withDownUntil(nowMs + faults.downtimeMs())),
        new CloseAllConnections());
  }

  private Transition<EngineState, StandinEffect> restart() {
    return Transition.of(withFaults(faults.withDownUntil(NEVER_MS)), new AcceptConnections());
  }

  private Transition<EngineState, StandinEffect> respondToOrder(
      long exchangeId, Order order, OrderResult result) {
    return Transition.of(this, orderResponse(exchangeId, order, result));
  }

  private static SendResponse orderResponse(long exchangeId, Order order, OrderResult result) {
    return SendResponse.ok(exchangeId, Map.of("orderId", order.orderId(), "result", result));
  }

  private Optional<Job> findJob(Predicate<Job> condition) {
    return Stream.concat(running.stream(), queued.stream()).filter(condition).findFirst();
  }

  private long nextTokenMs() {
    return running.stream().mapToLong(Job::nextTokenMs).min().orElse(NEVER_MS);
  }

  private long intervalMs() {
    return (long) (settings.tokenIntervalMs() * faults.slowdownFactor());
  }

  private Map<String, String> loadHeaders() {
    return Map.of("Limpetdoor-Load", loadHeader());
  }

  private String loadHeader() {
    return "running=" + running.size() + ";queued=" + queued.size();
  }

  private static PVector<Job> mapJobs(PVector<Job> jobs, UnaryOperator<Job> update) {
    return TreePVector.from(jobs.stream().map(update).toList());
  }

  EngineState withFaults(EngineFaults value) {
    return new EngineState(settings, memory, running, queued, value, delayedEffects);
  }

  private EngineState withMemory(Memory value) {
    return new EngineState(settings, value, running, queued, faults, delayedEffects);
  }

  private EngineState withJobs(PVector<Job> nextRunning, PVector<Job> nextQueued) {
    return new EngineState(settings, memory, nextRunning, nextQueued, faults, delayedEffects);
  }

  private EngineState withDelayedEffects(DelayedEffects value) {
    return new EngineState(settings, memory, running, queued, faults, value);
  }
}
