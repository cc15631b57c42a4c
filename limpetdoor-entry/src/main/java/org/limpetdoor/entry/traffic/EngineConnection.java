package org.limpetdoor.entry.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.limpetdoor.core.request.StatusKind;

/**
 * A connection to an engine. Finds the attempt that it serves, and responses with an invalid
 * status. All fields are confined to the event loop of the connection.
 */
final class EngineConnection extends ChannelDuplexHandler {
  private final Channel channel;
  private final EngineConnections connections;
  private String attempt;
  private StatusKind kind = StatusKind.FINAL;

  EngineConnection(Channel channel, EngineConnections connections) {
    this.channel = channel;
    this.connections = connections;
  }

  /** Closes the connection unless the response to the attempt has ended. */
  void closeIfServing(String closedAttempt) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (closedAttempt.equals(attempt)) {
                channel.close();
              }
            });
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      endAttempt();
      attempt = request.headers().get(BackendAttempt.ATTEMPT_HEADER);
      if (attempt != null) {
        connections.started(attempt, this);
      }
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head && head.decoderResult().isSuccess()) {
      kind = kindOf(head);
    }
    if (kind != StatusKind.FINAL) {
      skip(context, message);
      return;
    }
    if (message instanceof LastHttpContent) {
      endAttempt();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    endAttempt();
    context.fireChannelInactive();
  }

  /** Skips an interim response, and fails and closes the connection of one that is invalid. */
  private void skip(ChannelHandlerContext context, Object message) {
    boolean failed = kind == StatusKind.INVALID && message instanceof HttpResponse;
    String status =
        message instanceof HttpResponse head ? head.status().codeAsText().toString() : "";
    ReferenceCountUtil.release(message);
    if (failed) {
      context.fireExceptionCaught(new InvalidStatusException(status));
      context.close();
    }
  }

  /** Returns the kind of a response. The client handles 100 itself. */
  private static StatusKind kindOf(HttpResponse head) {
    boolean continues = head.status().code() == HttpResponseStatus.CONTINUE.code();
    return continues ? StatusKind.FINAL : StatusKind.of(head.status().code());
  }

  private void endAttempt() {
    if (attempt != null) {
      connections.ended(attempt, this);
      attempt = null;
    }
  }
}
