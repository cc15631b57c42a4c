package org.limpetdoor.runtime.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.runtime.peer.LinkEffect.CloseLink;
import org.limpetdoor.runtime.peer.LinkEffect.DeliverMessage;
import org.limpetdoor.runtime.peer.LinkEffect.ReportEstablished;
import org.limpetdoor.runtime.peer.LinkEffect.SendFrame;
import org.limpetdoor.runtime.peer.LinkEvent.ConnectionOpened;
import org.limpetdoor.runtime.peer.LinkEvent.FrameReceived;
import org.limpetdoor.runtime.peer.LinkEvent.MessageQueued;

/** Runs the reducer of one link on the event loop thread of its channel. */
final class LinkHandler extends ChannelDuplexHandler {
  private final LinkReducer reducer = new LinkReducer();
  private final PeerListener listener;
  private final Map<InstanceId, Channel> links;
  private final String label;
  private LinkState state;
  private LinkError error = LinkError.CLOSED;

  LinkHandler(
      LinkState state, PeerListener listener, Map<InstanceId, Channel> links, String label) {
    this.state = state;
    this.listener = listener;
    this.links = links;
    this.label = label;
  }

  /** Returns whether the other side has proved that it is a peer. */
  boolean isEstablished() {
    return state.session().isPresent();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    process(context, new ConnectionOpened());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf frame = (ByteBuf) message;
    try {
      process(context, new FrameReceived(ByteBufUtil.getBytes(frame)));
    } finally {
      frame.release();
    }
  }

  /**
   * Sends a message with its tag. If the send buffer is full, the peer does not read fast enough,
   * and the link is closed.
   */
  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (!context.channel().isWritable()) {
      execute(context, new CloseLink(LinkError.SEND_BACKLOG));
      promise.tryFailure(new LinkClosedException(LinkError.SEND_BACKLOG));
      return;
    }
    process(context, (MessageQueued) message);
    promise.trySuccess();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (error == LinkError.DUPLICATE) {
      return;
    }
    if (state.session().isEmpty()) {
      listener.linkFailed(label, error);
      return;
    }
    InstanceId peer = state.session().get().peer().instance();
    if (links.remove(peer, context.channel())) {
      listener.linkDown(peer, error);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    execute(context, new CloseLink(errorOf(cause)));
  }

  private static LinkError errorOf(Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      return LinkError.FRAME_TOO_LARGE;
    }
    return cause instanceof ReadTimeoutException ? LinkError.SILENT : LinkError.CLOSED;
  }

  private void process(ChannelHandlerContext context, LinkEvent event) {
    Transition<LinkState, LinkEffect> transition = reducer.reduce(state, event);
    state = transition.state();
    transition.effects().forEach(effect -> execute(context, effect));
  }

  private void execute(ChannelHandlerContext context, LinkEffect effect) {
    if (effect instanceof SendFrame send) {
      context.writeAndFlush(Unpooled.wrappedBuffer(send.bytes()));
    } else if (effect instanceof ReportEstablished established) {
      register(context, established);
    } else if (effect instanceof DeliverMessage deliver) {
      deliver(context, deliver);
    } else if (effect instanceof CloseLink close) {
      error = close.error();
      context.close();
    }
  }

  /**
   * Registers the link. A second link to the same peer replaces the first, whose connection may be
   * lost without notice. If two instances dial each other at the same time, both keep the link that
   * the instance with the lower name dialed.
   */
  private void register(ChannelHandlerContext context, ReportEstablished established) {
    InstanceId peer = established.peer().instance();
    Channel previous = links.get(peer);
    if (previous != null && previous.isActive() && isPreferred(previous, peer)) {
      execute(context, new CloseLink(LinkError.DUPLICATE));
      return;
    }
    links.put(peer, context.channel());
    if (previous != null) {
      previous.close();
    }
    listener.linkUp(established.peer());
  }

  private boolean isPreferred(Channel previous, InstanceId peer) {
    LinkRole previousRole = previous.pipeline().get(LinkHandler.class).state.role();
    if (previousRole == state.role()) {
      return false;
    }
    boolean lowerName = state.self().instance().compareTo(peer) < 0;
    return previousRole == (lowerName ? LinkRole.DIALER : LinkRole.ACCEPTOR);
  }

  private void deliver(ChannelHandlerContext context, DeliverMessage deliver) {
    if (!listener.messageReceived(deliver.peer().instance(), deliver.payload())) {
      execute(context, new CloseLink(LinkError.MALFORMED_FRAME));
    }
  }
}
