package org.limpetdoor.runtime.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.function.IntSupplier;
import org.limpetdoor.core.decision.RequestRejection;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.HeadMemory.NoHeadMemoryException;

/**
 * Puts together the requests of one connection from the messages of {@link PacedHttpCodec}. The
 * memory of a body stays reserved until {@link #close}. Confined to the event loop.
 */
public final class RequestReceiver implements AutoCloseable {
  /** Receives what becomes of the requests. */
  public interface Sink {
    /** Called when a request is complete. */
    void received(HttpRequest head, byte[] body);

    /**
     * Called when a request is refused, before its receipt ends. The rest of it is ignored; the
     * connection must not serve another one.
     */
    void refused(RequestRejection reason);
  }

  private final IntSupplier maxBodyBytes;
  private final Sink sink;
  private final BufferedBody body;
  private HttpRequest head;

  /**
   * Creates a receiver.
   *
   * @param memory memory that the bodies of all requests share
   * @param maxBodyBytes longest body, in bytes
   * @param sink receives complete and refused requests
   */
  public RequestReceiver(BodyMemory memory, IntSupplier maxBodyBytes, Sink sink) {
    this.maxBodyBytes = maxBodyBytes;
    this.sink = sink;
    this.body = new BufferedBody(memory);
  }

  /** Returns whether a request has begun and is not complete. */
  public boolean isReceiving() {
    return head != null;
  }

  /** Receives a message of the decoder, which the caller of this method releases. */
  public void read(Channel channel, Object message) {
    if (message instanceof HttpRequest request) {
      readHead(channel, request);
    }
    if (message instanceof HttpContent content && head != null) {
      readContent(content);
    }
  }

  /** Refuses the request that is being received. */
  public void refuse(RequestRejection reason) {
    sink.refused(reason);
    head = null;
  }

  /** Releases the memory of the last body. */
  @Override
  public void close() {
    body.close();
  }

  private void readHead(Channel channel, HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(rejectionOf(request.decoderResult().cause()));
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes.getAsInt()) {
      refuse(RequestRejection.BODY_TOO_LONG);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
  }

  private void readContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      refuse(rejectionOf(content.decoderResult().cause()));
      return;
    }
    int lengthBytes = body.lengthBytes() + content.content().readableBytes();
    if (lengthBytes > maxBodyBytes.getAsInt()) {
      refuse(RequestRejection.BODY_TOO_LONG);
      return;
    }
    if (!body.append(content.content())) {
      refuse(RequestRejection.NO_MEMORY);
      return;
    }
    if (content instanceof LastHttpContent) {
      byte[] bytes = body.toByteArray();
      body.dropContent();
      HttpRequest received = head;
      head = null;
      sink.received(received, bytes);
    }
  }

  private static RequestRejection rejectionOf(Throwable cause) {
    if (cause instanceof NoHeadMemoryException) {
      return RequestRejection.NO_MEMORY;
    }
    return cause instanceof TooLongHttpHeaderException
        ? RequestRejection.HEAD_TOO_LONG
        : RequestRejection.MALFORMED;
  }
}
