package org.boragebarrow.node;

import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.port.HostList;
import org.boragebarrow.port.TableService;

/**
 * Decorates the clients through which a host reaches its peers and the platform; trials inject faults here.
 *
 * <p>Each method is called once, while the host starts, and returns the client that the host uses from then on.
 */
public interface Surroundings {
    /** Returns every client unchanged; hosts in production use this. */
    Surroundings DIRECT = new Surroundings() {};

    /** Returns the sender that the host uses for messages to its peers. */
    default PeerSender peers(PeerSender sender) {
        return sender;
    }

    /** Returns the client that the host uses for the table service. */
    default TableService table(TableService table) {
        return table;
    }

    /** Returns the client that the host uses to read the host list. */
    default HostList hostList(HostList hostList) {
        return hostList;
    }
}
