package org.limpetdoor.bench.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Poisson arrivals of one run.
 *
 * @param load fraction of the capacity in use before the crest
 * @param longFraction fraction of requests whose answers are thirty times longer
 * @param crestFactor factor on the arrival rate during the crest, 1 for no crest
 */
record Workload(double load, double longFraction, double crestFactor) {
  /** Requests before this time are not measured: instances first collect answer lengths. */
  static final long WARM_UP_MS = 20_000;

  static final long END_MS = 80_000;
  static final long CREST_FROM_MS = 40_000;
  static final long RAMP_MS = 2_000;
  static final long CREST_END_MS = CREST_FROM_MS + RAMP_MS + 20_000;
  private static final int LONG_FACTOR = 30;
  private static final int MIN_PROMPT_TOKENS = 100;
  private static final int MAX_PROMPT_TOKENS = 500;
  private static final int MIN_OUTPUT_TOKENS = 20;
  private static final int MAX_OUTPUT_TOKENS = 60;
  private static final int PREFIXES = 6;
  private static final double PREFIX_FRACTION = 0.7;
  private static final double ADAPTER_FRACTION = 0.5;
  private static final long GUARANTEE_WINDOW_MS = 5_000;

  static double serviceMs(int promptTokens, int outputTokens) {
    return 5 + promptTokens * 0.1 + outputTokens * 10.0;
  }

  /** Returns the arrivals in order. The same seed gives the same arrivals for each policy. */
  List<Arrival> arrivals(Site site, long seed) {
    SplittableRandom root = new SplittableRandom(seed);
    List<Arrival> all = new ArrayList<>();
    for (EngineGroup group : site.groups) {
      for (Customer customer : Customer.values()) {
        addArrivals(site, group, customer, root.split(), all);
      }
    }
    all.sort(Comparator.comparingLong(Arrival::atMs));
    return markGuaranteed(site, all);
  }

  private void addArrivals(
      Site site, EngineGroup group, Customer customer, SplittableRandom random, List<Arrival> all) {
    double meanMs =
        serviceMs(
            (MIN_PROMPT_TOKENS + MAX_PROMPT_TOKENS) / 2,
            (MIN_OUTPUT_TOKENS + MAX_OUTPUT_TOKENS) / 2);
    double perMs = customer.loadFraction * load * group.slots() / meanMs;
    double rateFactor = customer.rateFactor(crestFactor);
    double atMs = 0;
    while (true) {
      atMs -= Math.log(1 - random.nextDouble()) / (perMs * rateFactor);
      if (atMs >= END_MS) {
        return;
      }
      // Thinning a Poisson process at the peak rate gives a rate that varies over time.
      if (random.nextDouble() * rateFactor < rateFactorAt(atMs, rateFactor)) {
        all.add(arrival(site, group, customer, (long) atMs, random));
      }
    }
  }

  private static double rateFactorAt(double atMs, double rateFactor) {
    if (atMs < CREST_FROM_MS || atMs >= CREST_END_MS) {
      return 1;
    }
    return 1 + (rateFactor - 1) * Math.min(1, (atMs - CREST_FROM_MS) / RAMP_MS);
  }

  private Arrival arrival(
      Site site, EngineGroup group, Customer customer, long atMs, SplittableRandom random) {
    int number = model(group, random);
    String model = group.model(number);
    List<String> adapters = site.adapters(model);
    String adapter = adapters.get(random.nextInt(adapters.size()));
    boolean usesAdapter = random.nextDouble() < ADAPTER_FRACTION;
    int prompt = random.nextInt(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS + 1);
    int output = random.nextInt(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS + 1);
    boolean longWork = random.nextDouble() < longFraction;
    long sharedPrefix = 1 + model.hashCode() * 31L * PREFIXES + random.nextInt(PREFIXES);
    return new Arrival(
        atMs,
        customer,
        model,
        usesAdapter ? Optional.of(adapter) : Optional.empty(),
        prompt,
        longWork ? output * LONG_FACTOR : output,
        longWork,
        random.nextDouble() < PREFIX_FRACTION ? sharedPrefix : 0,
        false);
  }

  private static int model(EngineGroup group, SplittableRandom random) {
    int sum = 0;
    for (int i = 0; i < group.models(); i++) {
      sum += group.popularity(i);
    }
    int remaining = random.nextInt(sum);
    int model = 0;
    while (remaining >= group.popularity(model)) {
      remaining -= group.popularity(model++);
    }
    return model;
  }

  /**
   * Marks each arrival that keeps its customer within the guaranteed share: the work of the last
   * seconds on the model, as durations on an idle engine, must fit into the guaranteed slots.
   */
  private static List<Arrival> markGuaranteed(Site site, List<Arrival> all) {
    Map<String, Deque<Arrival>> windows = new HashMap<>();
    Map<String, Double> workMs = new HashMap<>();
    List<Arrival> marked = new ArrayList<>();
    for (Arrival arrival : all) {
      String key = arrival.customer() + " " + arrival.model();
      Deque<Arrival> window = windows.computeIfAbsent(key, k -> new ArrayDeque<>());
      window.add(arrival);
      workMs.merge(key, arrival.serviceMs(), Double::sum);
      while (window.peek().atMs() <= arrival.atMs() - GUARANTEE_WINDOW_MS) {
        workMs.merge(key, -window.poll().serviceMs(), Double::sum);
      }
      double guaranteedSlots = arrival.customer().guaranteedShare * slots(site, arrival.model());
      marked.add(
          arrival.withWithinGuarantee(workMs.get(key) <= guaranteedSlots * GUARANTEE_WINDOW_MS));
    }
    return marked;
  }

  private static int slots(Site site, String model) {
    return site.groups.stream()
        .filter(g -> model.startsWith(g.name()))
        .findFirst()
        .orElseThrow()
        .slotsOfModel();
  }
}
