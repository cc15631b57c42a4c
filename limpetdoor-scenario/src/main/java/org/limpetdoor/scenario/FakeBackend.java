package org.limpetdoor.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * A simulated engine or service endpoint on virtual time. A job occupies one slot. Its duration
 * depends on its tokens and on the slow factor, which is read when the job starts and at its first
 * token.
 */
public final class FakeBackend {
  /** Fixed part of the time to first token. */
  private static final double BASE_FIRST_TOKEN_MS = 5;

  private static final double PROMPT_TOKEN_MS = 0.1;

  /** Fraction of the prompt time that remains when the prefix is cached. */
  private static final double CACHED_PROMPT_FRACTION = 0.1;

  private static final int PREFIX_CACHE_CAPACITY = 8;
  private static final int ADAPTER_CACHE_CAPACITY = 16;
  private static final double OUTPUT_TOKEN_MS = 10;

  private final Backend config;
  private final VirtualTime time;
  private final Map<AttemptId, BackendJob> jobs = new LinkedHashMap<>();
  private final TreeSet<BackendJob> waiting = new TreeSet<>(BackendJob.ORDER);
  private final EnumMap<BackendFault, Integer> faults = new EnumMap<>(BackendFault.class);
  private final Set<Long> fatalFingerprints = new HashSet<>();
  private final Set<Long> fatalPromptParts = new HashSet<>();
  private final Set<Long> partsFatalAfterFirstToken = new HashSet<>();
  private final FakeAdapterStore adapterStore;
  private final LruSet<Long> prefixCache = new LruSet<>(PREFIX_CACHE_CAPACITY);
  private final LruSet<AdapterId> adapterCache = new LruSet<>(ADAPTER_CACHE_CAPACITY);
  private double slowFactor = 1;
  private int prefixHits;
  private boolean down;
  private boolean draining;
  private int running;
  private int maxRunning;
  private int accepted;
  private long arrivals;
  private int refused;
  private int crashes;

  FakeBackend(Backend config, VirtualTime time, FakeAdapterStore adapterStore) {
    this.config = config;
    this.time = time;
    this.adapterStore = adapterStore;
  }

  /** Slows down all work that starts from now on by a factor. */
  public void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Refuses new requests with "not started" from now on. */
  public void drain() {
    draining = true;
  }

  /** Accepts new requests again. */
  public void stopDraining() {
    draining = false;
  }

  /** Returns the number of crashes. */
  public int crashes() {
    return crashes;
  }

  /** Returns the number of attempts refused as not started. */
  public int refused() {
    return refused;
  }

  /** Applies a fault to the given number of next attempts. */
  public void injectFault(BackendFault fault, int attempts) {
    faults.put(fault, attempts);
  }

  /** Makes every request with this fingerprint crash the back end when it starts. */
  public void crashOn(long fingerprint) {
    fatalFingerprints.add(fingerprint);
  }

  /** Makes every request whose prompt has this part crash the back end when it starts. */
  public void crashOnPromptPart(long part) {
    fatalPromptParts.add(part);
  }

  /** Makes every request whose prompt has this part crash the back end after its first token. */
  public void crashOnPromptPartAfterFirstToken(long part) {
    partsFatalAfterFirstToken.add(part);
  }

  /** Stops sending on all open connections. Their jobs go on, and new connections work. */
  public void silenceOpenConnections() {
    jobs.values().forEach(job -> job.silent = true);
  }

  /** Breaks all connections and refuses new ones until {@link #restart()}. */
  public void crash() {
    down = true;
    crashes++;
    prefixCache.clear();
    adapterCache.clear();
    for (BackendJob job : new ArrayList<>(jobs.values())) {
      fail(job, AttemptFailure.CONNECTION_LOST);
    }
  }

  /** Accepts connections again after a crash. */
  public void restart() {
    down = false;
  }

  /** Returns the number of attempts accepted for execution. */
  public int accepted() {
    return accepted;
  }

  /** Returns the number of jobs whose prefix was cached. */
  public int prefixHits() {
    return prefixHits;
  }

  /** Returns the highest number of jobs that ran at once. */
  public int maxRunning() {
    return maxRunning;
  }

  /** Returns the configuration of this back end. */
  public Backend config() {
    return config;
  }

  /** Reports the running and waiting counts periodically; each report arrives after the lag. */
  void reportLoad(long intervalMs, long lagMs, BiConsumer<Integer, Integer> receiver) {
    int runningNow = running;
    int waitingNow = waiting.size();
    time.after(lagMs, () -> receiver.accept(runningNow, waitingNow));
    time.after(intervalMs, () -> reportLoad(intervalMs, lagMs, receiver));
  }

  void dispatch(BackendJob job) {
    if (down) {
      fail(job, AttemptFailure.CONNECT_FAILED);
      return;
    }
    if (draining) {
      refused++;
      fail(job, AttemptFailure.NOT_STARTED);
      return;
    }
    accepted++;
    for (BackendFault fault : BackendFault.values()) {
      int remaining = faults.getOrDefault(fault, 0);
      if (remaining > 0) {
        faults.put(fault, remaining - 1);
        fault.applyTo(this, job);
        return;
      }
    }
    enqueue(job);
  }

  void enqueue(BackendJob job) {
    job.arrivalNumber = arrivals++;
    jobs.put(job.attempt, job);
    waiting.add(job);
    startWaitingJobs();
  }

  void cancel(AttemptId attempt) {
    BackendJob job = jobs.get(attempt);
    if (job != null) {
      remove(job);
      startWaitingJobs();
    }
  }

  void fail(BackendJob job, AttemptFailure failure) {
    boolean wasSilent = job.silent;
    remove(job);
    if (!wasSilent) {
      job.listener.failed(job, failure, job.tokensAt(time.nowMs()));
    }
    startWaitingJobs();
  }

  private void startWaitingJobs() {
    while (!down && !waiting.isEmpty()) {
      if (running >= config.slots() && !preemptFor(waiting.first())) {
        return;
      }
      start(waiting.pollFirst());
    }
  }

  /** Preempts the newest running job of a lower priority, and returns whether there was one. */
  private boolean preemptFor(BackendJob candidate) {
    BackendJob preempted =
        jobs.values().stream()
            .filter(job -> job.running && job.priority > candidate.priority)
            .max(BackendJob.ORDER)
            .orElse(null);
    if (preempted == null) {
      return false;
    }
    preempted.previousTokens = preempted.tokensAt(time.nowMs());
    preempted.firstTokenAtMs = Long.MAX_VALUE;
    preempted.running = false;
    preempted.preemptions++;
    running--;
    waiting.add(preempted);
    return true;
  }

  void changePriority(AttemptId attempt, int priority) {
    BackendJob job = jobs.get(attempt);
    if (job == null) {
      return;
    }
    boolean isWaiting = waiting.remove(job);
    job.priority = priority;
    if (isWaiting) {
      waiting.add(job);
    }
    startWaitingJobs();
  }

  private void start(BackendJob job) {
    job.running = true;
    running++;
    maxRunning = Math.max(maxRunning, running);
    if (fatalFingerprints.contains(job.spec.fingerprint())
        || job.spec.sharedPromptParts().stream().anyMatch(fatalPromptParts::contains)) {
      crash();
      return;
    }
    Optional<AdapterId> adapter =
        job.spec.target() instanceof ModelTarget call ? call.adapter() : Optional.empty();
    if (adapter.isEmpty() || adapterCache.use(adapter.get())) {
      prefill(job);
      return;
    }
    time.after(
        Math.round(adapterStore.beginLoad()),
        () -> {
          adapterStore.endLoad();
          prefill(job);
        });
  }

  private void prefill(BackendJob job) {
    double promptMs = job.spec.promptTokens() * PROMPT_TOKEN_MS;
    if (job.spec.prefixHash() != 0 && prefixCache.use(job.spec.prefixHash())) {
      prefixHits++;
      promptMs *= CACHED_PROMPT_FRACTION;
    }
    int preemptionsAtStart = job.preemptions;
    time.after(
        Math.round((BASE_FIRST_TOKEN_MS + promptMs) * slowFactor),
        () -> produceFirstToken(job, preemptionsAtStart));
  }

  private void produceFirstToken(BackendJob job, int preemptionsAtStart) {
    if (job.ended || job.preemptions != preemptionsAtStart) {
      return;
    }
    job.firstTokenAtMs = time.nowMs();
    job.tokenMs = OUTPUT_TOKEN_MS * slowFactor;
    if (!job.silent && !job.losesReply) {
      job.listener.started(job);
    }
    if (job.spec.sharedPromptParts().stream().anyMatch(partsFatalAfterFirstToken::contains)) {
      time.after(Math.round(job.tokenMs), () -> crashIfRunning(job));
      return;
    }
    int remainingTokens = Math.max(0, job.outputTokens - job.previousTokens);
    time.after(
        Math.round(remainingTokens * job.tokenMs), () -> produceLastToken(job, preemptionsAtStart));
  }

  private void crashIfRunning(BackendJob job) {
    if (!job.ended) {
      crash();
    }
  }

  private void produceLastToken(BackendJob job, int preemptionsAtStart) {
    if (job.ended || job.preemptions != preemptionsAtStart) {
      return;
    }
    if (job.losesReply) {
      job.firstTokenAtMs = Long.MAX_VALUE;
      fail(job, AttemptFailure.CONNECTION_LOST);
      return;
    }
    remove(job);
    if (!job.silent) {
      job.listener.completed(job, job.outputTokens);
    }
    startWaitingJobs();
  }

  private void remove(BackendJob job) {
    job.ended = true;
    jobs.remove(job.attempt);
    waiting.remove(job);
    if (job.running) {
      running--;
    }
    job.running = false;
  }

  /** Returns the attempts that are running or waiting. */
  List<AttemptId> openAttempts() {
    return List.copyOf(jobs.keySet());
  }
}
