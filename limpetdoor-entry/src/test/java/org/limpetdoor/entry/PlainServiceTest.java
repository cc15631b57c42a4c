package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies calls of a plain service through an instance. */
@Timeout(60)
final class PlainServiceTest {
  private final HttpClient http = HttpClient.newHttpClient();
  private FakeEngine first;
  private FakeEngine second;
  private EntryServer server;

  @BeforeEach
  void start() throws Exception {
    first = new FakeEngine();
    second = new FakeEngine();
    FixedLog log = new FixedLog(Fixtures.configuration(first, second));
    server = EntryServer.start(Fixtures.settings(), log);
    log.awaitSubmitted();
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    server.close();
  }

  /** Guards against a changed method, path, query or body of a forwarded call. */
  @Test
  void plainServiceReceivesUnchangedCall() throws Exception {
    HttpResponse<String> response = service("PUT", "/lots/7?x=a%20b", "application/json", "eggs");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("PUT /lots/7?x=a%20b eggs");
  }

  /** Guards against calls that fail because the client cannot encode their content type. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "application/x-www-form-urlencoded",
        "multipart/form-data; boundary=b",
        "application/json",
        "text/plain; charset=utf-16",
        "image/png",
        "no media type"
      })
  void plainServiceReceivesAnyContentType(String type) throws Exception {
    HttpResponse<String> response = service("POST", "/lots", type, "a=1&b=%20x");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("POST /lots a=1&b=%20x");
    assertThat(first.lastContentType()).isEqualTo(type);
  }

  /** Guards against methods without a body that the instance drops or answers itself. */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "HEAD", "OPTIONS", "DELETE"})
  void plainServiceReceivesMethodsWithoutBody(String method) throws Exception {
    HttpResponse<String> response = service(method, "/lots", "text/plain", "");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(method.equals("HEAD") ? "" : method + " /lots ");
    assertThat(response.headers().firstValue("Echo").get()).isEqualTo(method);
  }

  private HttpResponse<String> service(String method, String path, String type, String body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + server.callerAddress() + "/services/orders" + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("Authorization", "Bearer " + Fixtures.KEY)
            .header("Content-Type", type)
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
            .build();
    return http.send(request, BodyHandlers.ofString());
  }
}
