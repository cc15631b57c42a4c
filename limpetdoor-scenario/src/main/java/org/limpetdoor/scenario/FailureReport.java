package org.limpetdoor.scenario;

import io.cucumber.plugin.ConcurrentEventListener;
import io.cucumber.plugin.event.EventPublisher;
import io.cucumber.plugin.event.PickleStepTestStep;
import io.cucumber.plugin.event.Status;
import io.cucumber.plugin.event.TestCaseFinished;
import io.cucumber.plugin.event.TestStepFinished;
import java.nio.file.Path;

/** Prints one line for each scenario, and each failed step with its file and line. */
public final class FailureReport implements ConcurrentEventListener {
  @Override
  public void setEventPublisher(EventPublisher publisher) {
    publisher.registerHandlerFor(TestStepFinished.class, FailureReport::step);
    publisher.registerHandlerFor(TestCaseFinished.class, FailureReport::scenario);
  }

  private static void step(TestStepFinished event) {
    Status status = event.getResult().getStatus();
    boolean passed = status == Status.PASSED || status == Status.SKIPPED;
    if (passed || !(event.getTestStep() instanceof PickleStepTestStep step)) {
      return;
    }
    Throwable error = event.getResult().getError();
    String reason =
        status == Status.UNDEFINED
            ? "unknown step, see docs/scenarios.md for the accepted forms"
            : error == null ? status.name() : error.getMessage();
    System.out.println(
        Path.of(step.getUri())
            + ":"
            + step.getStep().getLine()
            + ": "
            + step.getStep().getText()
            + ": "
            + reason);
  }

  private static void scenario(TestCaseFinished event) {
    System.out.println(event.getResult().getStatus() + " " + event.getTestCase().getName());
  }
}
