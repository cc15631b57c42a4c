package org.limpetdoor.dev;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.limpetdoor.dev.EntryProcess.Listener;
import org.limpetdoor.runtime.crowd.CallerCrowd;
import org.limpetdoor.runtime.crowd.Script;

/**
 * Starts an entry with a small heap and callers that keep to no limit. It must live, stay within
 * its memory, and answer an ordinary request beside them and after they have left.
 */
class UncontrolledCallersTest {
  private static final int STATUS_OK = 200;
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Descriptors that must be left for back ends, the log and files. */
  private static final int RESERVED_DESCRIPTORS = 200;

  /** Descriptors for back ends that an entry may open meanwhile; fewer than any crowd has. */
  private static final int NEW_DESCRIPTORS = 20;

  /**
   * What the kernel may hold for one connection, in bytes: the limit of the entry, which Linux
   * doubles.
   */
  private static final int MAX_UNREAD_BYTES = 64 << 10;

  private static final String KEY = "Authorization: Bearer bakery-key\r\n";
  private static final String UNROUTED = "GET /none HTTP/1.1\r\nHost: h\r\n";
  private static final String CHUNKED =
      " HTTP/1.1\r\nHost: h\r\n" + KEY + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNKED_CHAT = "POST /v1/chat/completions" + CHUNKED;
  private static final String CHUNKED_SERVICE = "POST /services/orders/x" + CHUNKED;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** What a crowd sends on each connection. */
  enum Crowd {
    /** Guards against bodies whose chunks take a hundred times their length as objects. */
    BODIES_IN_CHUNKS_OF_ONE_BYTE(
        Listener.CALLERS, 24, new Script(CHUNKED_CHAT, chunks(1, 1_000), 4_194)),
    BODIES_IN_CHUNKS_OF_ONE_BYTE_TO_A_SERVICE(
        Listener.CALLERS, 50, new Script(CHUNKED_SERVICE, chunks(1, 1_000), 4_194)),
    BODIES_IN_CHUNKS_OF_64_KB(
        Listener.CALLERS, 150, new Script(CHUNKED_CHAT, chunks(65_530, 1), 64)),
    BODIES_IN_CHUNKS_OF_ONE_BYTE_TO_OPERATORS(
        Listener.OPERATORS, 60, new Script("POST /drain" + CHUNKED, chunks(1, 1_000), 4_194)),
    BODIES_WITHOUT_PATH(
        Listener.CALLERS, 24, new Script("POST /none" + CHUNKED, chunks(1, 1_000), 4_194)),
    BODIES_OF_64_KB_WITH_LENGTH(
        Listener.CALLERS,
        150,
        new Script(
            "POST /services/orders/x HTTP/1.1\r\nHost: h\r\n"
                + KEY
                + "Content-Length: 4000000\r\n\r\n",
            "x".repeat(1_000),
            3_999)),
    REQUESTS_IN_CHUNKS_OF_ONE_BYTE(
        Listener.CALLERS,
        200,
        Script.repeat(CHUNKED_SERVICE + chunks(1, 20_000) + LAST_CHUNK, Script.ENDLESS),
        100_000_000),
    /** Guards against a response in memory for each request that was sent ahead. */
    REQUESTS_AHEAD(Listener.CALLERS, 24, Script.repeat(UNROUTED + "\r\n", 20_000)),
    REQUESTS_AHEAD_TO_READINESS(
        Listener.OPERATORS,
        24,
        Script.repeat("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", 20_000)),
    REQUESTS_AHEAD_TO_METRICS(
        Listener.OPERATORS, 24, Script.repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 10_000)),
    ENDLESS_REQUESTS_AHEAD(
        Listener.CALLERS,
        400,
        Script.repeat((UNROUTED + "\r\n").repeat(100), Script.ENDLESS),
        100_000_000),
    /** Guards against heads whose lines take many times their length as objects. */
    HEADS_OF_SHORT_LINES(
        Listener.CALLERS, 300, Script.repeat(UNROUTED + "a:\r\n".repeat(3_900), 1)),
    HEADS_OF_SHORT_LINES_TO_OPERATORS(
        Listener.OPERATORS, 300, Script.repeat(UNROUTED + "a:\r\n".repeat(3_900), 1)),
    COMPLETE_HEADS_OF_SHORT_LINES(
        Listener.CALLERS, 300, Script.repeat(UNROUTED + "a:\r\n".repeat(3_900) + "\r\n", 20)),
    HEADS_OF_ODD_LINES(
        Listener.CALLERS,
        40,
        Script.repeat(
            UNROUTED
                + "!#$%&'*+-.^_`|~09azAZ: v\r\nA:\r\nB:\t\tb\t\r\n"
                + " c\r\n".repeat(3_000)
                + "\r\n",
            20)),
    TRAILERS_OF_SHORT_LINES(
        Listener.CALLERS, 300, new Script(CHUNKED_CHAT + "0\r\n", "a:\r\n", 4_000)),
    CHUNKS_WITH_LONG_EXTENSIONS(
        Listener.CALLERS,
        100,
        new Script(CHUNKED_CHAT, "1;" + "e".repeat(8_000) + "\r\nx\r\n", 1_000)),
    /** Guards against responses in memory that nobody reads. */
    LONG_RESPONSES(
        Listener.CALLERS,
        100,
        Script.repeat("GET /services/orders/long HTTP/1.1\r\nHost: h\r\n" + KEY + "\r\n", 1)),
    /** Guards against documents that take many times their length as objects. */
    DOCUMENTS_OF_EMPTY_OBJECTS(Listener.CALLERS, 24, Script.repeat(document("{},"), 1)),
    DOCUMENTS_OF_EMPTY_PARTS(
        Listener.CALLERS,
        24,
        Script.repeat(
            document("{\"role\":\"user\",\"content\":[" + "{},".repeat(1_000) + "{}]},"), 1)),
    DOCUMENTS_OF_SHORT_MESSAGES(
        Listener.CALLERS, 24, Script.repeat(document("{\"role\":\"\"},"), 1)),
    /** Guards against descriptors and memory that all go to idle connections. */
    CONNECTIONS_WITHOUT_REQUEST(Listener.CALLERS, 2_000, Script.repeat("", 0)),
    CONNECTIONS_WITHOUT_REQUEST_TO_OPERATORS(Listener.OPERATORS, 2_000, Script.repeat("", 0));

    private final Listener listener;
    private final int connections;
    private final Script script;
    private final long settledAtBytes;

    Crowd(Listener listener, int connections, Script script) {
      this(listener, connections, script, Long.MAX_VALUE);
    }

    Crowd(Listener listener, int connections, Script script, long settledAtBytes) {
      this.listener = listener;
      this.connections = connections;
      this.script = script;
      this.settledAtBytes = settledAtBytes;
    }

    private CallerCrowd open(EntryProcess entry) throws IOException {
      return CallerCrowd.open(entry.address(listener), connections, script, settledAtBytes);
    }

    /** A complete request of legal size, whose messages are the given text again and again. */
    private static String document(String message) {
      String beginning = "{\"model\":\"laying-assistant\",\"messages\":[";
      String end = "{\"role\":\"user\",\"content\":\"eggs\"}]}";
      String body = beginning + message.repeat(4_100_000 / message.length()) + end;
      return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
          + KEY
          + "Content-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }

    private static String chunks(int length, int count) {
      return (Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n").repeat(count);
    }
  }

  @TempDir private Path directory;

  /** Guards against a bound on chunks that a body within the limits meets. */
  @Test
  void servesALongBodyInChunksOfOneByte() throws Exception {
    try (EntryProcess entry = new EntryProcess(directory);
        Socket caller = new Socket("127.0.0.1", entry.address(Listener.CALLERS).getPort())) {
      caller.setSoTimeout(EntryProcess.TIMEOUT_MS);
      OutputStream out = caller.getOutputStream();
      out.write(CHUNKED_SERVICE.getBytes(StandardCharsets.ISO_8859_1));
      byte[] chunks = Crowd.chunks(1, 1 << 10).getBytes(StandardCharsets.ISO_8859_1);
      for (int i = 0; i < MAX_BODY_BYTES >> 10; i++) {
        out.write(chunks);
      }
      out.write(LAST_CHUNK.getBytes(StandardCharsets.ISO_8859_1));
      byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
      assertThat(new String(status, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 200");
    }
  }

  @ParameterizedTest
  @EnumSource
  void livesAndAnswersOrdinaryRequestsBeside(Crowd crowd) throws Exception {
    try (EntryProcess entry = new EntryProcess(directory)) {
      int descriptorsBefore = entry.usage().openDescriptors();
      try (CallerCrowd callers = crowd.open(entry)) {
        callers.awaitSettled();
        assertWithMessage("alive").that(entry.isAlive()).isTrue();
        assertThat(entry.get(Listener.CALLERS, "/services/orders/x")).isEqualTo(STATUS_OK);
        assertThat(entry.get(Listener.OPERATORS, "/health/ready")).isEqualTo(STATUS_OK);
        assertThat(entry.usage().openDescriptors())
            .isAtMost(EntryProcess.MAX_DESCRIPTORS - RESERVED_DESCRIPTORS);
        assertThat(entry.usage().unreadBytes(entry.address(crowd.listener).getPort()))
            .isAtMost((long) crowd.connections * MAX_UNREAD_BYTES);
      }
      assertThat(entry.get(Listener.CALLERS, "/services/orders/x")).isEqualTo(STATUS_OK);
      entry.usage().awaitOpenDescriptors(descriptorsBefore + NEW_DESCRIPTORS);
      assertThat(entry.usage().peakMemoryMb()).isAtMost(EntryProcess.MAX_MEMORY_MB);
    }
  }

  /** Guards against bounds that hold for a crowd of one kind but not for several at once. */
  @Test
  void livesAndAnswersOrdinaryRequestsBesideCrowdsOfSeveralKinds() throws Exception {
    try (EntryProcess entry = new EntryProcess(directory)) {
      int descriptorsBefore = entry.usage().openDescriptors();
      try (CallerCrowd longBodies = Crowd.BODIES_IN_CHUNKS_OF_64_KB.open(entry);
          CallerCrowd smallChunks = Crowd.BODIES_IN_CHUNKS_OF_ONE_BYTE.open(entry);
          CallerCrowd heads = Crowd.HEADS_OF_SHORT_LINES.open(entry);
          CallerCrowd responses = Crowd.LONG_RESPONSES.open(entry);
          CallerCrowd documents = Crowd.DOCUMENTS_OF_EMPTY_PARTS.open(entry);
          CallerCrowd ahead = Crowd.ENDLESS_REQUESTS_AHEAD.open(entry);
          CallerCrowd operators = Crowd.BODIES_IN_CHUNKS_OF_ONE_BYTE_TO_OPERATORS.open(entry)) {
        List.of(longBodies, smallChunks, heads, responses, documents, ahead, operators)
            .forEach(CallerCrowd::awaitSettled);
        assertWithMessage("alive").that(entry.isAlive()).isTrue();
        assertThat(entry.get(Listener.CALLERS, "/services/orders/x")).isEqualTo(STATUS_OK);
        assertThat(entry.get(Listener.OPERATORS, "/health/ready")).isEqualTo(STATUS_OK);
        assertThat(entry.usage().openDescriptors())
            .isAtMost(EntryProcess.MAX_DESCRIPTORS - RESERVED_DESCRIPTORS);
      }
      assertThat(entry.get(Listener.CALLERS, "/services/orders/x")).isEqualTo(STATUS_OK);
      entry.usage().awaitOpenDescriptors(descriptorsBefore + NEW_DESCRIPTORS);
      assertThat(entry.usage().peakMemoryMb()).isAtMost(EntryProcess.MAX_MEMORY_MB);
    }
  }
}
