package org.boragebarrow.model;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The IP address and TCP port that a process listens on. */
public record Endpoint(String address, int port) {
    private static final int MAX_PORT = 65_535;

    public Endpoint {
        checkNotNull(address);
        checkArgument(InetAddresses.isInetAddress(address), "not an IP address: \"%s\"", address);
        checkArgument(port >= 0 && port <= MAX_PORT, "port out of range: %s", port);
    }

    /** Returns the endpoint with the given IP address and port. */
    public static Endpoint of(String address, int port) {
        return new Endpoint(address, port);
    }

    /**
     * Parses {@code address:port}; an IPv6 address is enclosed in brackets.
     *
     * @throws IllegalArgumentException if the text has another format, or names a host instead of an IP address
     */
    public static Endpoint parse(String text) {
        checkNotNull(text);
        HostAndPort parsed = HostAndPort.fromString(text);
        checkArgument(parsed.hasPort(), "no port: \"%s\"", text);
        return of(parsed.getHost(), parsed.getPort());
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(address, port).toString();
    }
}
