import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store: keyed topics with one partition, and groups over the topic
 * of the duty. Operators and engines write with {@code /put}, which is the stand-in's own call.
 */
public final class Store {
  /** Time without a heartbeat after which the entry of an engine is removed. */
  private static final long ENTRY_TTL_MS = 3 * 1_200;

  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final Map<String, Long> beatAtMs = new HashMap<>();
  private final Map<String, Long> memberUntilMs = new LinkedHashMap<>();
  private long generation;
  private String owner = "";

  /** Arguments: address to listen on. */
  public static void main(String[] args) throws IOException {
    Store store = new Store();
    ServerSocket server = new ServerSocket();
    server.bind(Http.socketAddress(args[0]), 200);
    Thread expiry = new Thread(store::expire);
    expiry.setDaemon(true);
    expiry.start();
    while (true) {
      Socket socket = server.accept();
      new Thread(() -> store.serve(socket)).start();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        byte[] body = Http.readRequestBody(in, head);
        respond(socket.getOutputStream(), head.target(), body);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended; its caller opens another one.
    }
  }

  private void respond(OutputStream out, String target, byte[] body)
      throws IOException, InterruptedException {
    String path = target.split("\\?")[0];
    Map<String, String> query = query(target);
    String topic = query.get("topic");
    if (path.equals("/put")) {
      put(topic, query.get("key"), body);
      reply(out, 200, "{}");
    } else if (path.equals(Wire.APPEND)) {
      append(out, topic, body);
    } else if (path.equals(Wire.READ)) {
      long waitMs = Long.parseLong(query.getOrDefault("waitTimeoutMs", "0"));
      read(out, topic, Long.parseLong(query.get("rangeStart")), waitMs);
    } else if (path.equals(Wire.NEWEST)) {
      reply(out, 200, newest(topic));
    } else if (path.equals(Wire.JOIN)) {
      reply(out, 200, join(new String(body, StandardCharsets.UTF_8)));
    } else if (path.equals(Wire.LEAVE)) {
      leave(field(new String(body, StandardCharsets.UTF_8), "member"));
      reply(out, 200, "{}");
    } else {
      reply(out, 404, "{}");
    }
  }

  private synchronized void put(String topic, String key, byte[] value) throws IOException {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(key.length());
    content.write(key.getBytes(StandardCharsets.UTF_8));
    content.write(value);
    topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(content.toByteArray());
    if (topic.equals(Wire.ENGINE_TOPIC)) {
      beatAtMs.put(key, value.length == 0 ? Long.MAX_VALUE : nowMs());
    }
    notifyAll();
  }

  private synchronized void append(OutputStream out, String topic, byte[] body) throws IOException {
    if (topic.equals(Wire.OPERATOR_TOPIC) || topic.equals(Wire.ENGINE_TOPIC)) {
      reply(out, 403, "{}");
      return;
    }
    List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
    long offset = records.size();
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    while (in.available() > 0) {
      records.add(in.readNBytes(in.readInt()));
    }
    notifyAll();
    reply(out, 200, "{\"offset\":" + offset + ",\"endOffset\":" + records.size() + "}");
  }

  private void read(OutputStream out, String topic, long from, long waitMs)
      throws IOException, InterruptedException {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    synchronized (this) {
      List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
      long untilMs = nowMs() + waitMs;
      while (records.size() <= from && nowMs() < untilMs) {
        wait(untilMs - nowMs());
      }
      DataOutputStream data = new DataOutputStream(content);
      data.writeLong(records.size());
      data.writeLong(0);
      for (long i = from; i < Math.min(records.size(), from + 1_024); i++) {
        data.writeInt(records.get((int) i).length);
        data.write(records.get((int) i));
      }
    }
    Http.write(
        out, "HTTP/1.1 200 OK\r\nContent-Length: " + content.size() + "\r\n\r\n",
        content.toByteArray());
  }

  private synchronized String newest(String topic) {
    List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
    Map<String, String> items = new LinkedHashMap<>();
    for (int i = 0; i < records.size(); i++) {
      byte[] record = records.get(i);
      String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
      byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
      items.remove(key);
      if (value.length > 0) {
        items.put(
            key,
            "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"offset\":" + i + "}");
      }
    }
    return "{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"endOffset\":"
        + records.size() + "}";
  }

  private synchronized String join(String body) {
    String member = field(body, "member");
    boolean known = memberUntilMs.containsKey(member);
    memberUntilMs.put(member, nowMs() + Long.parseLong(field(body, "ttlMs")));
    if (!known) {
      generation++;
      owner = owner.isEmpty() ? member : owner;
    }
    String parts = owner.equals(member) ? "[\"" + Wire.DUTY_TOPIC + "\",0,0]" : "";
    return "{\"generation\":" + generation + ",\"ttlMs\":" + field(body, "ttlMs") + ",\"parts\":["
        + parts + "]}";
  }

  private synchronized void leave(String member) {
    if (memberUntilMs.remove(member) != null) {
      generation++;
      owner = owner.equals(member) ? memberUntilMs.keySet().stream().findFirst().orElse("") : owner;
    }
  }

  /** Removes members and entries of engines that have been silent for too long. */
  private void expire() {
    while (true) {
      try {
        Thread.sleep(50);
        synchronized (this) {
          for (String member : List.copyOf(memberUntilMs.keySet())) {
            if (memberUntilMs.get(member) < nowMs()) {
              leave(member);
            }
          }
          for (String engine : List.copyOf(beatAtMs.keySet())) {
            if (beatAtMs.get(engine) != Long.MAX_VALUE
                && nowMs() - beatAtMs.get(engine) > ENTRY_TTL_MS) {
              put(Wire.ENGINE_TOPIC, engine, new byte[0]);
            }
          }
        }
      } catch (InterruptedException | IOException e) {
        return;
      }
    }
  }

  private static void reply(OutputStream out, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    Http.write(
        out,
        "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length + "\r\n\r\n",
        bytes);
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], parts[1]);
    }
    return query;
  }

  private static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
