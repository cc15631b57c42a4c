package org.limpetdoor.scenario.steps;

import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.limpetdoor.scenario.CallerRecord;
import org.limpetdoor.scenario.FakeBackend;
import org.limpetdoor.scenario.ScenarioSimulation;

/** Steps that check the results of requests and the attempts at back ends. */
public final class CheckSteps {
  private final ScenarioSimulation simulation;

  /** Creates the steps of one scenario. */
  public CheckSteps(ScenarioSimulation simulation) {
    this.simulation = simulation;
  }

  @Then("all requests of {string} finish")
  public void allFinish(String customer) {
    List<CallerRecord> all = callersOf(customer);
    long finished = all.stream().filter(CallerRecord::finished).count();
    check(
        finished == all.size(),
        finished + " of " + all.size() + " finished: " + countByResult(all));
  }

  @Then("at least {int} requests of {string} finish")
  public void atLeastFinish(int minimum, String customer) {
    long finished = callersOf(customer).stream().filter(CallerRecord::finished).count();
    check(finished >= minimum, finished + " finished: " + countByResult(callersOf(customer)));
  }

  @Then("at most {int} requests of {string} finish")
  public void atMostFinish(int maximum, String customer) {
    long finished = callersOf(customer).stream().filter(CallerRecord::finished).count();
    check(finished <= maximum, finished + " finished");
  }

  @Then("{string} has between {double} and {double} times as many finished requests as {string}")
  public void finishedRatio(String customer, double low, double high, String other) {
    long finished = callersOf(customer).stream().filter(CallerRecord::finished).count();
    long otherFinished = callersOf(other).stream().filter(CallerRecord::finished).count();
    double ratio = (double) finished / Math.max(1, otherFinished);
    check(ratio >= low && ratio <= high, finished + " and " + otherFinished + ", ratio " + ratio);
  }

  @Then("{int} requests of {string} are refused as {string}")
  public void refusedCount(int expected, String customer, String reason) {
    long count = callersOf(customer).stream().filter(refusedAs(reason)).count();
    check(count == expected, count + " were refused: " + countByResult(callersOf(customer)));
  }

  @Then("no request of {string} is refused as {string}")
  public void noneRefused(String customer, String reason) {
    refusedCount(0, customer, reason);
  }

  @Then("at least {int} requests of {string} are refused as {string}")
  public void refusedAtLeast(int minimum, String customer, String reason) {
    long count = callersOf(customer).stream().filter(refusedAs(reason)).count();
    check(count >= minimum, count + " were refused: " + countByResult(callersOf(customer)));
  }

  @Then("request {string} finishes")
  public void finishes(String name) {
    check(simulation.caller(name).finished(), result(simulation.caller(name)));
  }

  @Then("request {string} is refused as {string} with outcome {string}")
  public void refused(String name, String reason, String outcome) {
    CallerRecord caller = simulation.caller(name);
    boolean matches =
        caller
            .refusal()
            .filter(r -> label(r.reason()).equals(reason))
            .filter(r -> r.outcome().label().equals(outcome))
            .isPresent();
    check(matches, result(caller));
  }

  @Then("request {string} is not answered")
  public void unanswered(String name) {
    CallerRecord caller = simulation.caller(name);
    check(!caller.finished() && caller.refusal().isEmpty(), result(caller));
  }

  @Then("request {string} ends within {int} ms")
  public void endsWithin(String name, int maxMs) {
    long durationMs = simulation.caller(name).timeToEndMs();
    check(durationMs >= 0 && durationMs <= maxMs, "took " + durationMs + " ms");
  }

  @Then("request {string} asks for a retry after {int} to {int} ms")
  public void retryAfter(String name, int low, int high) {
    long afterMs =
        simulation.caller(name).refusal().map(r -> r.retryAfterMs().orElse(-1)).orElse(-1L);
    check(afterMs >= low && afterMs <= high, "retry after " + afterMs + " ms");
  }

  @Then("request {string} took {int} attempt(s)")
  public void attempts(String name, int expected) {
    int attempts = simulation.caller(name).attempts();
    check(attempts == expected, attempts + " attempts");
  }

  @Then("every refusal of {string} came within {int} ms")
  public void refusalsWithin(String customer, int maxMs) {
    long slowest =
        callersOf(customer).stream()
            .filter(c -> c.refusal().isPresent())
            .mapToLong(CallerRecord::timeToEndMs)
            .max()
            .orElse(0);
    check(slowest <= maxMs, "slowest refusal took " + slowest + " ms");
  }

  @Then("{int} in 100 requests of {string} start within {int} ms")
  public void startWithin(int percent, String customer, int maxMs) {
    List<Long> times =
        callersOf(customer).stream()
            .map(CallerRecord::timeToStartMs)
            .map(t -> t < 0 ? Long.MAX_VALUE : t)
            .sorted()
            .toList();
    long time = times.get(Math.max(0, (int) Math.ceil(times.size() * percent / 100.0) - 1));
    check(time <= maxMs, "took " + time + " ms; " + countByResult(callersOf(customer)));
  }

  @Then("back end {string} was handed at least {int} attempt(s)")
  public void handedAtLeast(String backend, int minimum) {
    int accepted = simulation.backend(backend).accepted();
    check(accepted >= minimum, accepted + " attempts");
  }

  @Then("back end {string} was handed at most {int} attempt(s)")
  public void handedAtMost(String backend, int maximum) {
    int accepted = simulation.backend(backend).accepted();
    check(accepted <= maximum, accepted + " attempts");
  }

  @Then("back end {string} refused at most {int} attempt(s)")
  public void refusedAtMost(String backend, int maximum) {
    int refused = simulation.backend(backend).refused();
    check(refused <= maximum, refused + " attempts");
  }

  @Then("at least {int} in 100 requests find their prefix cached")
  public void prefixHits(int percent) {
    long hits = simulation.backends().stream().mapToLong(FakeBackend::prefixHits).sum();
    long accepted = simulation.backends().stream().mapToLong(FakeBackend::accepted).sum();
    check(hits * 100 >= percent * accepted, hits + " of " + accepted);
  }

  @Then("at most {int} adapter loads were in flight at once")
  public void adapterLoads(int maximum) {
    int highest = simulation.adapterStore().maxInFlight();
    check(highest <= maximum, highest + " were in flight");
  }

  @Then("at most {int} adapter loads happened")
  public void adapterLoadCount(int maximum) {
    int loads = simulation.adapterStore().loads();
    check(loads <= maximum, loads + " happened");
  }

  @Then("all back ends together were handed at most {int} attempts")
  public void handedAtMostTogether(int maximum) {
    int total = simulation.backends().stream().mapToInt(FakeBackend::accepted).sum();
    check(total <= maximum, total + " attempts");
  }

  @Then("all back ends together crashed at most {int} time(s)")
  public void crashedAtMostTogether(int maximum) {
    int total = simulation.backends().stream().mapToInt(FakeBackend::crashes).sum();
    check(total <= maximum, total + " crashes");
  }

  @Then("no back end was handed more than {int} attempts")
  public void handedAtMostEach(int maximum) {
    int highest = simulation.backends().stream().mapToInt(FakeBackend::accepted).max().orElse(0);
    check(highest <= maximum, highest + " attempts");
  }

  @Then("at least {int} decision(s) of kind {string} was/were recorded")
  public void decisions(int minimum, String kind) {
    long count = countDecisions(kind);
    check(count >= minimum, count + " were recorded");
  }

  @Then("no decision of kind {string} was recorded")
  public void noDecision(String kind) {
    long count = countDecisions(kind);
    check(count == 0, count + " were recorded");
  }

  private long countDecisions(String kind) {
    return simulation.instances().stream()
        .flatMap(instance -> instance.decisions().stream())
        .filter(decision -> decision.kind().eventName().equals(kind))
        .count();
  }

  private List<CallerRecord> callersOf(String customer) {
    return simulation.callers().stream().filter(c -> c.customer().equals(customer)).toList();
  }

  private static Predicate<CallerRecord> refusedAs(String reason) {
    return caller -> caller.refusal().filter(r -> label(r.reason()).equals(reason)).isPresent();
  }

  private static String countByResult(List<CallerRecord> callers) {
    return callers.stream()
        .collect(Collectors.groupingBy(CheckSteps::result, Collectors.counting()))
        .toString();
  }

  private static String result(CallerRecord caller) {
    if (caller.finished()) {
      return "finished";
    }
    return caller
        .refusal()
        .map(r -> label(r.reason()) + "/" + r.outcome().label())
        .orElse("unanswered");
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static void check(boolean condition, String found) {
    if (!condition) {
      throw new AssertionError(found);
    }
  }
}
