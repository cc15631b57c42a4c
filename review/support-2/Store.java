import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: topics that keep the newest record of each key, and one group.
 */
final class Store implements AutoCloseable {
  private static final int MAX_WAIT_MS = 30_000;

  private record Entry(String key, byte[] value) {}

  private final List<HttpServer> servers = new ArrayList<>();
  private final String address;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Map<String, List<Entry>> topics = new HashMap<>();
  private final Map<String, Long> members = new LinkedHashMap<>();
  private String owner = "";
  private long generation = 1;
  private final Map<String, Long> listReadsMs = new HashMap<>();

  Store(String ip) throws IOException {
    address = listen(ip);
  }

  /** Opens an address of the store, and returns it. */
  String listen(String ip) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    servers.add(server);
    return ip + ":" + server.getAddress().getPort();
  }

  String address() {
    return address;
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    executor.shutdownNow();
  }

  /** Writes a record; a null value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Entry(key, bytes));
    notifyAll();
  }

  /** Waits until a key has been written, and returns whether it was in time. */
  synchronized boolean awaitKey(String topic, String key, long timeoutMs) throws InterruptedException {
    long endMs = Lab.nowMs() + timeoutMs;
    while (Lab.nowMs() < endMs) {
      List<Entry> entries = topics.getOrDefault(topic, List.of());
      if (entries.stream().anyMatch(entry -> entry.key().equals(key))) {
        return true;
      }
      wait(Math.max(1, endMs - Lab.nowMs()));
    }
    return false;
  }

  /** Returns when the list of engines was last read at an address of the store; 0 if never. */
  synchronized long lastListReadMs(String storeAddress) {
    return listReadsMs.getOrDefault(storeAddress, 0L);
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String path = exchange.getRequestURI().getPath();
    if (path.equals(Wire.name("read"))) {
      read(exchange, query);
    } else if (path.equals(Wire.name("newest"))) {
      newest(exchange, query);
    } else if (path.equals(Wire.name("append"))) {
      append(exchange, query, body);
    } else if (path.equals(Wire.name("join"))) {
      join(exchange, new String(body, StandardCharsets.UTF_8));
    } else if (path.equals(Wire.name("leave"))) {
      leave(exchange, new String(body, StandardCharsets.UTF_8));
    } else {
      answer(exchange, 404, new byte[0]);
    }
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    long from = Long.parseLong(query.get("rangeStart"));
    long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(query.getOrDefault("waitTimeoutMs", "0")));
    long endMs = Lab.nowMs() + waitMs;
    byte[] answer;
    synchronized (this) {
      if (query.get("topic").equals(Wire.name("engineTopic"))) {
        InetSocketAddress read = exchange.getLocalAddress();
        listReadsMs.put(read.getAddress().getHostAddress() + ":" + read.getPort(), Lab.nowMs());
      }
      List<Entry> entries = entries(query);
      while (from == entries.size() && Lab.nowMs() < endMs) {
        try {
          wait(Math.max(1, endMs - Lab.nowMs()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      if (from > entries.size()) {
        answer(exchange, 410, "{\"firstOffset\":0}".getBytes(StandardCharsets.UTF_8));
        return;
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeLong(entries.size());
      out.writeLong(0);
      for (Entry entry : entries.subList((int) from, entries.size())) {
        byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
        out.writeInt(1 + key.length + entry.value().length);
        out.writeByte(key.length);
        out.write(key);
        out.write(entry.value());
      }
      answer = bytes.toByteArray();
    }
    answer(exchange, 200, answer);
  }

  private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
    StringBuilder items = new StringBuilder();
    int end;
    synchronized (this) {
      List<Entry> entries = entries(query);
      end = entries.size();
      Map<String, Entry> newest = new LinkedHashMap<>();
      entries.forEach(entry -> newest.put(entry.key(), entry));
      for (Entry entry : newest.values()) {
        if (entry.value().length > 0) {
          items.append(items.length() == 0 ? "" : ",");
          items.append("{\"key\":\"").append(entry.key()).append("\",\"value\":\"");
          items.append(Base64.getEncoder().encodeToString(entry.value()));
          items.append("\",\"offset\":0}");
        }
      }
    }
    json(exchange, "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":" + end + "}");
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    long offset;
    long end;
    synchronized (this) {
      List<Entry> entries = entries(query);
      offset = entries.size();
      ByteBuffer records = ByteBuffer.wrap(body);
      while (records.remaining() > Integer.BYTES) {
        byte[] content = new byte[records.getInt()];
        records.get(content);
        int keyEnd = 1 + (content[0] & 0xff);
        String key = new String(content, 1, keyEnd - 1, StandardCharsets.UTF_8);
        entries.add(new Entry(key, Arrays.copyOfRange(content, keyEnd, content.length)));
      }
      end = entries.size();
      notifyAll();
    }
    json(exchange, "{\"offset\":" + offset + ",\"endOffset\":" + end + "}");
  }

  private void join(HttpExchange exchange, String body) throws IOException {
    String member = field(body, "member");
    long ttlMs = Long.parseLong(field(body, "ttlMs"));
    String parts;
    long current;
    synchronized (this) {
      members.put(member, Lab.nowMs() + ttlMs);
      members.values().removeIf(untilMs -> untilMs < Lab.nowMs());
      assign();
      current = generation;
      parts = member.equals(owner) ? "[[\"" + Wire.name("dutyTopic") + "\",0,0]]" : "[]";
    }
    json(exchange, "{\"generation\":" + current + ",\"ttlMs\":" + ttlMs + ",\"parts\":" + parts + "}");
  }

  private void leave(HttpExchange exchange, String body) throws IOException {
    synchronized (this) {
      members.remove(field(body, "member"));
      assign();
    }
    json(exchange, "{}");
  }

  private void assign() {
    if (!members.containsKey(owner)) {
      owner = members.isEmpty() ? "" : members.keySet().iterator().next();
      generation++;
    }
  }

  private List<Entry> entries(Map<String, String> query) {
    return topics.computeIfAbsent(query.get("topic"), name -> new ArrayList<>());
  }

  private void json(HttpExchange exchange, String text) throws IOException {
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    answer(exchange, 200, text.getBytes(StandardCharsets.UTF_8));
  }

  private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static Map<String, String> query(String text) {
    Map<String, String> result = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      result.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return result;
  }

  /** Returns a field of a flat JSON object. */
  static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }
}
