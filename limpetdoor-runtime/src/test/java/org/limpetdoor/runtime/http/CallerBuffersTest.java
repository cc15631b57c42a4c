package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Tests where a connection keeps what it has received. */
class CallerBuffersTest {
  private final EmbeddedChannel connection = new EmbeddedChannel();

  /** Guards against undecoded bytes that come on top of a heap that is full. */
  @Test
  void readsIntoTheHeap() {
    CallerBuffers.configure(connection.config());
    RecvByteBufAllocator.Handle reads =
        connection.config().<RecvByteBufAllocator>getRecvByteBufAllocator().newHandle();
    ByteBuf read = reads.allocate(connection.alloc());
    ByteBuf cumulation = connection.alloc().buffer();
    assertThat(read.isDirect()).isFalse();
    assertThat(cumulation.isDirect()).isFalse();
  }
}
