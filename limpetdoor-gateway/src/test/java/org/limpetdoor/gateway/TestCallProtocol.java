package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.gateway.account.Credential;

/**
 * Identifies calls by a header that engines echo; other headers mark responses as signed or not
 * run.
 */
final class TestCallProtocol implements CallProtocol {
  @Override
  public CallSpec parseCall(long id, HttpRequest head, byte[] body) {
    String callerAttemptId = head.headers().get("Call", "none");
    return new CallSpec(
        id,
        callerAttemptId,
        "h",
        head.uri(),
        Optional.empty(),
        Optional.empty(),
        0,
        OptionalLong.empty(),
        0,
        List.of(),
        0,
        Credential.ABSENT);
  }

  @Override
  public void writeHeaders(
      HttpHeaders from, HttpHeaders to, ForwardCall forward, Optional<String> resumeAfter) {
    resumeAfter.ifPresent(event -> to.set("Last-Event-Id", event));
  }

  @Override
  public Optional<String> attemptId(HttpHeaders headers) {
    return Optional.ofNullable(headers.get("Call"));
  }

  @Override
  public boolean isNotRun(HttpResponse response) {
    return response.headers().contains("Not-Run");
  }

  @Override
  public boolean isSigned(HttpResponse response) {
    return response.headers().contains("Signed");
  }

  @Override
  public EngineNotice engineNotice(HttpResponse response) {
    return new EngineNotice(
        response.headers().contains("Leaving"), response.headers().getInt("Closed-Ms", 0));
  }
}
