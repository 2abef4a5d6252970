package org.boragebarrow.http.server;

/** An event that a server fires through the pipelines of its connections while it stops. */
enum ShutdownEvent {
    /** Refuse the request whose body is being received, and each later one whose body does not follow at once. */
    REFUSE_INCOMPLETE,

    /** Also close the connection once all of its output is written. */
    CLOSE_WHEN_WRITTEN
}
