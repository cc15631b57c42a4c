package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.limits.AccountUsage;
import org.limpetdoor.core.limits.AllowanceVerdict;
import org.limpetdoor.core.request.Rendezvous;

/** Charges calls to the allowances of their accounts. */
final class AllowanceSteps {
  /** Bits of a hash that a number of type double represents exactly. */
  private static final int DRAW_BITS = 53;

  private AllowanceSteps() {}

  /**
   * Result of charging a call.
   *
   * @param node state in which the call is counted
   * @param refusal why the call is refused; empty if it is admitted
   */
  record Charge(NodeState node, Optional<AllowanceVerdict> refusal) {}

  /** Counts a call that has arrived towards the allowance of its account, if that has a limit. */
  static Charge charge(NodeState node, Call call) {
    Optional<ClientAccount> account = limitedAccount(call);
    double cost = cost(call);
    if (account.isEmpty() || cost <= 0) {
      return new Charge(node, Optional.empty());
    }
    AccountUsage.Admission admission =
        node.gateway().usage().admit(account.get(), cost, draw(call.spec()), node.nowMs());
    return new Charge(
        node.withGateway(node.gateway().withUsage(admission.usage())),
        Optional.of(admission.verdict()).filter(verdict -> !verdict.reason().admits()));
  }

  /** Refuses a call that exceeds the allowance of its account. */
  static Transition<NodeState, Effect> refuse(NodeState node, Call call, AllowanceVerdict verdict) {
    Reply reply = Reply.ALLOWANCE_EXCEEDED;
    CallDecision decision =
        CallDecision.overAllowance(CallSteps.subject(call), reply, verdict, cost(call));
    return Transition.<NodeState, Effect>of(
            node, new ReplyToCall(call.spec().id(), reply, verdict.retryAfterMs()))
        .with(new RecordDecision(decision));
  }

  /** Gives the cost of a call back that ends without having run at any engine. */
  static NodeState giveBackUnlessRun(NodeState node, Call call) {
    boolean mayHaveRun = call.mayHaveRun() || call.activeAttempt().isPresent() || call.delivered();
    Optional<ClientAccount> account = limitedAccount(call);
    if (mayHaveRun || account.isEmpty()) {
      return node;
    }
    GatewayState state = node.gateway();
    return node.withGateway(
        state.withUsage(state.usage().givenBack(account.get().name(), cost(call), node.nowMs())));
  }

  private static Optional<ClientAccount> limitedAccount(Call call) {
    return call.account().filter(account -> account.allowance().limited());
  }

  private static double cost(Call call) {
    return call.account()
        .map(account -> account.allowance().cost(call.spec().statedTokens()))
        .orElse(0.0);
  }

  /** Returns a number from 0 to 1 for a call. Two calls with one identifier get different ones. */
  private static double draw(CallSpec spec) {
    long hash = Rendezvous.weight(Rendezvous.hash(spec.callerAttemptId()), spec.id());
    return (hash >>> (Long.SIZE - DRAW_BITS)) * Math.scalb(1.0, -DRAW_BITS);
  }
}
