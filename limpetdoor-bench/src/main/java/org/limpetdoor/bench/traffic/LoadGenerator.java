package org.limpetdoor.bench.traffic;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Generates load: each caller sends one streamed request after another. */
final class LoadGenerator {
  private static final long MAX_RUN_NS = TimeUnit.SECONDS.toNanos(40);
  private static final int HISTOGRAM_DIGITS = 3;

  private final HttpClient http;
  private final ComponentThreads threads;

  LoadGenerator() throws InterruptedException {
    threads = new ComponentThreads("load");
    http = threads.call(() -> HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build());
  }

  /**
   * Sends requests until the given number is reached or the time limit of a run has passed.
   *
   * @param addresses addresses to which requests are sent in turn
   * @param requests number of requests, at least 1
   * @param callers number of concurrent requests, at least 1
   * @param tokens length of each answer, in tokens
   * @throws TrafficFailedException if an answer is incomplete
   */
  Result run(List<String> addresses, int requests, int callers, int tokens)
      throws InterruptedException {
    CallerTask task = new CallerTask(addresses, requests, tokens);
    ExecutorService pool = Executors.newFixedThreadPool(callers, threads::newThread);
    try {
      List<Future<?>> results = new ArrayList<>();
      for (int i = 0; i < callers; i++) {
        results.add(pool.submit(task));
      }
      for (Future<?> result : results) {
        result.get();
      }
      return task.result();
    } catch (ExecutionException e) {
      throw new TrafficFailedException("a request failed: " + e.getCause(), e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }

  /**
   * The result of a run as seen by the callers.
   *
   * @param requests number of answered requests
   * @param elapsedNs duration of the run, in nanoseconds
   * @param firstTokenUs time to the first token, in microseconds, for each address
   */
  record Result(int requests, long elapsedNs, List<Histogram> firstTokenUs) {}

  private final class CallerTask implements Runnable {
    private final List<String> addresses;
    private final int requests;
    private final int tokens;
    private final String body;
    private final long startNs = System.nanoTime();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final List<Histogram> firstTokenUs = new ArrayList<>();

    CallerTask(List<String> addresses, int requests, int tokens) {
      this.addresses = addresses;
      this.requests = requests;
      this.tokens = tokens;
      this.body =
          "{\"model\":\""
              + Testbed.MODEL
              + "\",\"stream\":true,\"max_tokens\":"
              + tokens
              + ",\"messages\":[{\"role\":\"user\",\"content\":\"When do ducks lay?\"}]}";
      addresses.forEach(address -> firstTokenUs.add(new ConcurrentHistogram(HISTOGRAM_DIGITS)));
    }

    Result result() {
      return new Result(answered.get(), System.nanoTime() - startNs, firstTokenUs);
    }

    @Override
    public void run() {
      int requestNumber = sent.getAndIncrement();
      while (requestNumber < requests && System.nanoTime() - startNs < MAX_RUN_NS) {
        send(requestNumber % addresses.size());
        answered.incrementAndGet();
        requestNumber = sent.getAndIncrement();
      }
    }

    private void send(int address) {
      try {
        long sentNs = System.nanoTime();
        HttpResponse<InputStream> answer =
            http.send(request(addresses.get(address)), BodyHandlers.ofInputStream());
        long firstNs = readWhole(answer);
        firstTokenUs.get(address).recordValue(TimeUnit.NANOSECONDS.toMicros(firstNs - sentNs));
      } catch (IOException e) {
        throw new TrafficFailedException("no response: " + e, e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new TrafficFailedException("interrupted", e);
      }
    }

    private HttpRequest request(String address) {
      return HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
          .header("Authorization", "Bearer " + Testbed.KEY)
          .header("Content-Type", "application/json")
          .POST(BodyPublishers.ofString(body))
          .build();
    }

    /** Reads the whole answer and returns the time at which its first token was read. */
    private long readWhole(HttpResponse<InputStream> answer) throws IOException {
      long firstNs = 0;
      int count = 0;
      boolean done = false;
      try (BufferedReader lines = reader(answer.body())) {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          if (line.contains("\"content\":")) {
            firstNs = count == 0 ? System.nanoTime() : firstNs;
            count++;
          }
          done = done || line.equals("data: [DONE]");
        }
      }
      if (answer.statusCode() != 200 || !done || count != tokens) {
        throw new TrafficFailedException(
            "status " + answer.statusCode() + ", " + count + " of " + tokens + " tokens", null);
      }
      return firstNs;
    }

    private static BufferedReader reader(InputStream in) {
      return new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    }
  }
}
