package org.limpetdoor.scenario.steps;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.request.Target;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.limpetdoor.core.request.Target.ServiceTarget;
import org.limpetdoor.scenario.BackendFault;
import org.limpetdoor.scenario.RequestShape;
import org.limpetdoor.scenario.ScenarioException;
import org.limpetdoor.scenario.ScenarioSimulation;

/** Steps in which callers send requests, time passes and back ends fail. */
public final class TrafficSteps {
  private static final double MS_PER_SECOND = 1_000.0;
  private static final int PROMPT_TOKENS = 100;

  private final ScenarioSimulation simulation;

  /** Creates the steps of one scenario. */
  public TrafficSteps(ScenarioSimulation simulation) {
    this.simulation = simulation;
  }

  @When("{string} sends {int} requests per second to {string} for {int} ms with {int} tokens each")
  public void stream(String customer, int perSecond, String model, int durationMs, int tokens) {
    boundedStream(customer, perSecond, model, durationMs, tokens, tokens);
  }

  @When(
      "{string} sends {int} requests per second to {string} for {int} ms with {int} of at most {int}"
          + " tokens each")
  public void boundedStream(
      String customer, int perSecond, String model, int durationMs, int tokens, int maxTokens) {
    RequestShape shape = RequestShape.of(PROMPT_TOKENS, tokens).withMaxOutputTokens(maxTokens);
    sendEvenly(customer, target(model), shape, perSecond, durationMs);
  }

  @When(
      "{string} sends {int} requests per second to {string} for {int} ms with {int} tokens each and"
          + " prompt parts {string}")
  public void streamWithPromptParts(
      String customer, int perSecond, String model, int durationMs, int tokens, String parts) {
    List<Long> shared = Arrays.stream(parts.split(",")).map(Long::valueOf).toList();
    RequestShape shape = RequestShape.of(PROMPT_TOKENS, tokens).withSharedPromptParts(shared);
    sendEvenly(customer, target(model), shape, perSecond, durationMs);
  }

  private void sendEvenly(
      String customer, Target target, RequestShape shape, int perSecond, int durationMs) {
    long startMs = simulation.time().nowMs();
    int count = (int) (perSecond * (long) durationMs / MS_PER_SECOND);
    simulation.instances();
    for (int i = 0; i < count; i++) {
      long atMs = startMs + (long) (i * MS_PER_SECOND / perSecond);
      simulation.time().at(atMs, () -> simulation.send(customer, target, shape));
    }
  }

  @When(
      "{string} sends {int} requests per second to {string} for {int} ms with {int} tokens each over"
          + " {int} prefixes of {int} tokens")
  public void prefixedStream(
      String customer,
      int perSecond,
      String model,
      int durationMs,
      int tokens,
      int prefixes,
      int promptTokens) {
    long startMs = simulation.time().nowMs();
    int count = (int) (perSecond * (long) durationMs / MS_PER_SECOND);
    simulation.instances();
    for (int i = 0; i < count; i++) {
      // A large prime step keeps the order of prefixes from lining up with the number of back ends.
      long prefix = 1 + (i * 7919L) % prefixes;
      RequestShape shape = RequestShape.of(promptTokens, tokens).withPrefixHash(prefix);
      long atMs = startMs + (long) (i * MS_PER_SECOND / perSecond);
      simulation.time().at(atMs, () -> simulation.send(customer, target(model), shape));
    }
  }

  @When("{string} sends {int} requests at once to each of {int} adapters of {string}")
  public void adapterBatch(String customer, int count, int adapters, String model) {
    for (int i = 0; i < count * adapters; i++) {
      int adapter = 1 + i % adapters;
      simulation.send(customer, target(model + "+a" + adapter), RequestShape.of(PROMPT_TOKENS, 10));
    }
  }

  @When("{string} sends {int} requests at once to {string} with {int} tokens each")
  public void batch(String customer, int count, String model, int tokens) {
    for (int i = 0; i < count; i++) {
      simulation.send(customer, target(model), RequestShape.of(PROMPT_TOKENS, tokens));
    }
  }

  @When("{string} sends request {string} to {string} with {int} tokens")
  public void request(String customer, String name, String model, int tokens) {
    simulation.sendAs(name, customer, target(model), RequestShape.of(PROMPT_TOKENS, tokens));
  }

  @When("{string} sends request {string} to {string} with {int} of at most {int} tokens")
  public void boundedRequest(
      String customer, String name, String model, int tokens, int maxTokens) {
    RequestShape shape = RequestShape.of(PROMPT_TOKENS, tokens).withMaxOutputTokens(maxTokens);
    simulation.sendAs(name, customer, target(model), shape);
  }

  @When("{string} sends request {string} to {string} with {int} tokens and fingerprint {long}")
  public void requestWithFingerprint(
      String customer, String name, String model, int tokens, long fingerprint) {
    RequestShape shape = RequestShape.of(PROMPT_TOKENS, tokens).withFingerprint(fingerprint);
    simulation.sendAs(name, customer, target(model), shape);
  }

  @When("{string} sends call {string} {string} {string} to service {string}")
  public void call(String customer, String name, String method, String path, String service) {
    Target target = new ServiceTarget(new ServiceId(service), method, path);
    simulation.sendAs(name, customer, target, RequestShape.of(0, 0));
  }

  @When("the caller of {string} disconnects")
  public void disconnect(String name) {
    simulation.disconnect(name);
  }

  @When("{int} ms pass")
  public void advance(int durationMs) {
    simulation.advance(durationMs);
  }

  @When("back end {string} crashes")
  public void crash(String backend) {
    simulation.backend(backend).crash();
  }

  @When("back end {string} restarts")
  public void restart(String backend) {
    simulation.backend(backend).restart();
  }

  @When("back end {string} is slower by a factor of {double}")
  public void slowDown(String backend, double factor) {
    simulation.backend(backend).setSlowFactor(factor);
  }

  @When("all back ends are slower by a factor of {double}")
  public void slowDownAll(double factor) {
    simulation.backends().forEach(backend -> backend.setSlowFactor(factor));
  }

  @When("back end {string} drains")
  public void drain(String backend) {
    simulation.backend(backend).drain();
  }

  @When("back end {string} stops draining")
  public void stopDraining(String backend) {
    simulation.backend(backend).stopDraining();
  }

  @When("back end {string} is announced as leaving")
  public void announceLeaving(String backend) {
    simulation.announceLeaving(backend);
  }

  @When("the open connections of back end {string} go silent")
  public void silenceConnections(String backend) {
    simulation.backend(backend).silenceOpenConnections();
  }

  @Given("back end {string} has fault {string} for the next {int} attempt(s)")
  public void fault(String backend, String fault, int attempts) {
    simulation.backend(backend).injectFault(faultNamed(fault), attempts);
  }

  @Given("every back end has fault {string} for the next {int} attempt(s)")
  public void faultOnAll(String fault, int attempts) {
    simulation.backends().forEach(backend -> backend.injectFault(faultNamed(fault), attempts));
  }

  @Given("every back end crashes on fingerprint {long}")
  public void crashOnFingerprint(long fingerprint) {
    simulation.backends().forEach(backend -> backend.crashOn(fingerprint));
  }

  @Given("every back end crashes after its first token on prompt part {long}")
  public void crashOnPromptPartAfterFirstToken(long part) {
    simulation.backends().forEach(backend -> backend.crashOnPromptPartAfterFirstToken(part));
  }

  @Given("every back end crashes on prompt part {long}")
  public void crashOnPromptPart(long part) {
    simulation.backends().forEach(backend -> backend.crashOnPromptPart(part));
  }

  private static BackendFault faultNamed(String name) {
    for (BackendFault fault : BackendFault.values()) {
      if (fault.label().equals(name)) {
        return fault;
      }
    }
    throw new ScenarioException(
        "unknown fault '"
            + name
            + "', accepted: lost before running, reply lost, error answer, silent");
  }

  private static Target target(String label) {
    String[] parts = label.split("\\+", 2);
    Optional<AdapterId> adapter =
        parts.length == 1 ? Optional.empty() : Optional.of(new AdapterId(parts[1]));
    return new ModelTarget(new ModelId(parts[0]), adapter);
  }
}
