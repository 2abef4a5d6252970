package org.boragebarrow.http.server;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoop;

/**
 * The answer to one request.
 *
 * <p>All methods must be called on {@link #eventLoop}; calls after the connection closed do nothing.
 */
public interface ServerResponse {
    /** Returns the event loop that owns the connection. */
    EventLoop eventLoop();

    /** Returns whether the connection can still carry the answer. */
    boolean isOpen();

    /** Returns whether little enough is buffered that more may be written. */
    boolean isWritable();

    /** Sends a whole answer. */
    void send(int status, ImmutableListMultimap<String, String> headers, ByteBuffer body);

    /** Starts an answer whose body follows in parts. */
    void start(int status, ImmutableListMultimap<String, String> headers);

    /** Sends a part of the body. */
    void write(ByteBuffer part);

    /** Ends the body. */
    void end();

    /** Breaks the connection off, so that the caller cannot mistake a part for the whole answer. */
    void abort();

    /** Sets what runs when the connection closes before the answer ended. */
    void onClose(Runnable action);

    /** Sets what runs when {@link #isWritable} changes. */
    void onWritabilityChanged(Runnable action);
}
