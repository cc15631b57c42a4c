package org.limpetdoor.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Runs experiments for each site, policy and seed, and prints their tables. */
public final class Experiments {
  private static final List<Long> SEEDS = List.of(11L, 23L, 37L, 41L, 59L);

  private Experiments() {}

  /**
   * Prints one table for each experiment and site.
   *
   * @param name name of an experiment, or {@code all}
   * @param plot file for the plot, or null for none
   * @throws IllegalArgumentException if there is no such experiment
   */
  public static void run(String name, Path plot) throws IOException {
    List<Experiment> chosen =
        name.equals("all")
            ? List.of(Experiment.values())
            : List.of(Experiment.valueOf(name.toUpperCase(Locale.ROOT)));
    Plot svg = new Plot();
    for (Experiment experiment : chosen) {
      for (Site site : Site.values()) {
        Map<Policy, Map<String, Sample>> results = measure(experiment, site);
        print(experiment, site, results);
        svg.add(experiment, site, results);
      }
    }
    if (plot != null) {
      Files.writeString(plot, svg.text());
    }
  }

  private static Map<Policy, Map<String, Sample>> measure(Experiment experiment, Site site) {
    Map<Policy, Map<String, Sample>> results = new EnumMap<>(Policy.class);
    for (Policy policy : Policy.values()) {
      Figures figures = new Figures();
      SEEDS.forEach(seed -> experiment.measure(new Run(site, policy, seed), figures));
      results.put(policy, figures.samples());
    }
    return results;
  }

  private static void print(
      Experiment experiment, Site site, Map<Policy, Map<String, Sample>> results) {
    System.out.println();
    System.out.println("### " + experiment.name().toLowerCase(Locale.ROOT) + ", " + site.label());
    System.out.println();
    StringBuilder head = new StringBuilder("| figure |");
    results.keySet().forEach(policy -> head.append(' ').append(policy.label()).append(" |"));
    System.out.println(head);
    System.out.println("| --- |" + " --- |".repeat(results.size()));
    Set<String> names = new LinkedHashSet<>();
    results.values().forEach(figures -> names.addAll(figures.keySet()));
    for (String name : names) {
      StringBuilder line = new StringBuilder("| " + name + " |");
      results.values().forEach(f -> line.append(' ').append(f.get(name)).append(" |"));
      System.out.println(line);
    }
  }
}
