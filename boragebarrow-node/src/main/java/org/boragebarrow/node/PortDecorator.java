package org.boragebarrow.node;

import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.port.HostList;
import org.boragebarrow.port.TableService;

/**
 * Decorates the clients through which a host reaches its peers and the platform; trials inject faults here.
 *
 * <p>Each method is called once, while the host starts, and returns the client that the host uses from then on.
 */
public interface PortDecorator {
    /** Returns every client unchanged; hosts in production use this. */
    PortDecorator NONE = new PortDecorator() {};

    /** Returns the sender that the host uses for messages to its peers. */
    default PeerSender decoratePeerSender(PeerSender sender) {
        return sender;
    }

    /** Returns the client that the host uses for the table service. */
    default TableService decorateTable(TableService table) {
        return table;
    }

    /** Returns the client that the host uses to read the host list. */
    default HostList decorateHostList(HostList hostList) {
        return hostList;
    }
}
