package org.boragebarrow.node.relay;

import java.util.Optional;

import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

/**
 * Where a request is sent according to the routing in effect at its arrival.
 *
 * @param organisation the owner of the caller's key; empty if no key is required
 */
record Destination(Route route, ServiceName service, Optional<OrganisationId> organisation) {}
