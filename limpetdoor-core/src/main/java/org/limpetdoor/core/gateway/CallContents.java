package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import org.limpetdoor.core.backend.AnsweredPromptParts;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.request.Rendezvous;

/** Decides which contents of a call an attempt is evidence of. */
final class CallContents {
  private CallContents() {}

  /** Returns the whole request and the parts of the prompt that other requests may share. */
  static List<Long> all(CallSpec spec) {
    List<Long> contents = new ArrayList<>(spec.sharedPromptParts());
    contents.add(spec.fingerprint());
    return contents;
  }

  /**
   * Returns the contents that may have crashed the engine of a lost attempt. A part crashes engines
   * that begin to answer, so it is not suspected once the answer has gone on for a while. The whole
   * request is not suspected if the attempt had continued the response of an earlier one.
   */
  static List<Long> suspected(
      Call call, Attempt attempt, AnsweredPromptParts answered, long nowMs) {
    List<Long> contents = new ArrayList<>();
    if (!attempt.showsSoundPrompt(nowMs)) {
      contents.addAll(answered.suspectedOf(call.spec().sharedPromptParts()));
    }
    boolean continued = attempt.started() && call.ranAt().size() > 1;
    if (!continued) {
      contents.add(call.spec().fingerprint());
    }
    return contents;
  }

  /** Returns the loss of an attempt, with an identifier that differs between all instances. */
  static EngineLoss loss(CallSpec spec, Attempt attempt, long nowMs) {
    long id = Rendezvous.hash(spec.callerAttemptId() + "/" + attempt.number());
    return new EngineLoss(id, attempt.sentAtMs(), nowMs);
  }
}
