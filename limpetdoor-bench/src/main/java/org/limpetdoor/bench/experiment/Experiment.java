package org.limpetdoor.bench.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The measures defined in the design page. */
enum Experiment {
  /** Fraction of requests that start within their objective, in total and for each engine. */
  ATTAINMENT("attainment, all requests") {
    @Override
    void measure(Run run, Figures figures) {
      List<Outcome> all = run.execute(new Workload(BASE_LOAD, 0, 1), false);
      figures.add(title(), fraction(all, Outcome::startedInTime));
      figures.add("refused", fraction(all, Outcome::refused));
      Map<String, List<Outcome>> byEngine =
          all.stream()
              .collect(Collectors.groupingBy(Outcome::engine, TreeMap::new, Collectors.toList()));
      byEngine.remove("none");
      byEngine.forEach((engine, of) -> figures.add(engine, fraction(of, Outcome::startedInTime)));
    }
  },
  /** Attainment and refusals during a crest of ten times the usual demand. */
  CREST("started in time at the crest") {
    @Override
    void measure(Run run, Figures figures) {
      List<Outcome> all =
          run.execute(new Workload(BASE_LOAD, 0, CREST_FACTOR), false).stream()
              .filter(Outcome::inCrest)
              .toList();
      figures.add(title(), fraction(all, Outcome::startedInTime));
      List<Outcome> guaranteed = all.stream().filter(o -> o.arrival().withinGuarantee()).toList();
      figures.add("guaranteed requests", guaranteed.size());
      figures.add("guaranteed-share misses", count(guaranteed, o -> !o.startedInTime()));
      figures.add("misses refused", count(guaranteed, Outcome::refused));
      addTimes(figures, "guaranteed", guaranteed);
      addRefusals(figures, all);
      for (Customer customer : Customer.values()) {
        figures.add(
            "in time " + customer.id(),
            fraction(
                all.stream().filter(o -> o.arrival().customer() == customer).toList(),
                Outcome::startedInTime));
      }
    }
  },
  /** Time to start of short work among requests that are thirty times longer. */
  BLOCKING("p99 to start of short work, with long over without") {
    @Override
    void measure(Run run, Figures figures) {
      List<Outcome> with = run.execute(new Workload(MIXED_LOAD, LONG_FRACTION, 1), false);
      List<Outcome> without = run.execute(new Workload(MIXED_LOAD, 0, 1), false);
      Predicate<Outcome> isShort = o -> !o.arrival().longWork();
      List<Outcome> shortWork = with.stream().filter(isShort).toList();
      double withMs = startP99(shortWork);
      double withoutMs = startP99(without);
      figures.add(title(), withMs / withoutMs);
      figures.add("p99 with (ms)", withMs);
      figures.add("p99 without (ms)", withoutMs);
      figures.add("short work refused, with", fraction(shortWork, Outcome::refused));
      figures.add("refused, without", fraction(without, Outcome::refused));
      addTimes(figures, "short with long", shortWork);
    }
  },
  /** Time to the complete short answer while two engines are temporarily slow. */
  TAIL("p99 of whole answers, slowed over not slowed") {
    @Override
    void measure(Run run, Figures figures) {
      List<Outcome> with = run.execute(new Workload(BASE_LOAD, 0, 1), true);
      List<Outcome> without = run.execute(new Workload(BASE_LOAD, 0, 1), false);
      double withMs = endP99(with);
      double withoutMs = endP99(without);
      figures.add(title(), withMs / withoutMs);
      figures.add("p99 slowed (ms)", withMs);
      figures.add("p99 not slowed (ms)", withoutMs);
      figures.add("refused, slowed", fraction(with, Outcome::refused));
      double attempts = with.stream().mapToInt(o -> o.caller().attempts()).sum();
      double sent = with.stream().filter(o -> o.caller().attempts() > 0).count();
      figures.add("extra attempts (%)", 100 * (attempts / sent - 1));
      addTimes(figures, "slowed", with);
    }
  };

  static final double BASE_LOAD = 0.55;

  /** The long requests raise the work by a factor of 1.81, which gives the base load. */
  static final double MIXED_LOAD = 0.305;

  static final double CREST_FACTOR = 10;
  static final double LONG_FRACTION = 0.03;

  private final String title;

  Experiment(String title) {
    this.title = title;
  }

  /** Runs the workload and adds its figures; the first figure is compared between policies. */
  abstract void measure(Run run, Figures figures);

  String title() {
    return title;
  }

  private static double fraction(List<Outcome> all, Predicate<Outcome> condition) {
    return all.isEmpty() ? 0 : count(all, condition) / all.size();
  }

  private static double count(List<Outcome> all, Predicate<Outcome> condition) {
    return all.stream().filter(condition).count();
  }

  private static double startP99(List<Outcome> all) {
    return Sample.p99(
        all.stream().map(o -> o.caller().timeToStartMs()).filter(t -> t >= 0).toList());
  }

  private static double endP99(List<Outcome> all) {
    return Sample.p99(
        all.stream()
            .filter(o -> o.caller().finished())
            .map(o -> o.caller().timeToEndMs())
            .toList());
  }

  /** Adds the times that started requests waited at the instance and, after that, at the engine. */
  private static void addTimes(Figures figures, String label, List<Outcome> all) {
    List<Outcome> started = all.stream().filter(o -> o.caller().timeToStartMs() >= 0).toList();
    figures.add(
        label + ": p99 queue at instance (ms)",
        Sample.p99(started.stream().map(o -> o.caller().timeToDispatchMs()).toList()));
    figures.add(
        label + ": p99 dispatch to start (ms)",
        Sample.p99(
            started.stream()
                .map(o -> o.caller().timeToStartMs() - o.caller().timeToDispatchMs())
                .toList()));
  }

  private static void addRefusals(Figures figures, List<Outcome> all) {
    for (String reason : List.of("CANNOT_START_IN_TIME", "DEADLINE_PASSED", "NO_BACKEND")) {
      figures.add(
          "refused " + reason.toLowerCase(Locale.ROOT),
          fraction(
              all,
              o -> o.caller().refusal().filter(r -> r.reason().name().equals(reason)).isPresent()));
    }
  }
}
