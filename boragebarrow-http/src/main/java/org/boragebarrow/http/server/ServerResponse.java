package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.util.function.IntConsumer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoop;

/**
 * The response to one request.
 *
 * <p>All methods must be called on {@link #eventLoop}. Calls after the connection was closed have no effect.
 */
public interface ServerResponse {
    /** Returns the event loop that owns the connection. */
    EventLoop eventLoop();

    /** Returns whether the connection is open and the response has not ended. */
    boolean isOpen();

    /** Returns whether all was written and the write buffer is below its limit, so that more may be written. */
    boolean isWritable();

    /** Sends a complete response. */
    void send(int status, ImmutableListMultimap<String, String> headers, ByteBuffer body);

    /**
     * Sends a complete response, whose body is written as the caller reads it.
     *
     * @param onWritten receives the size in bytes of each block once it is no longer held here: when it was written to the
     *     connection, or will not be written because the connection is closed
     */
    void send(
            int status,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            IntConsumer onWritten);

    /** Sends the head of a chunked response; the body follows with {@link #write} and {@link #end}. */
    void start(int status, ImmutableListMultimap<String, String> headers);

    /** Sends a part of the body. */
    void write(ByteBuffer part);

    /**
     * Sends parts of the body, which are written as the caller reads them.
     *
     * @param onWritten receives the size in bytes of each part once it is no longer held here, as in {@link #send}
     */
    void write(ImmutableList<ByteBuffer> parts, IntConsumer onWritten);

    /** Ends the body. */
    void end();

    /** Closes the connection without ending the response, so that the caller detects that it is incomplete. */
    void abort();

    /** Sets the action that runs when the connection is closed before the response has ended. */
    void onClose(Runnable action);

    /** Sets the action that runs when {@link #isWritable} changes. */
    void onWritabilityChanged(Runnable action);
}
