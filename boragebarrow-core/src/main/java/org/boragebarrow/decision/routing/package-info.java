/**
 * Routes requests to services. A host reads complete, numbered versions of routes, services, keys and limits, and only
 * ever replaces its version by a newer one.
 *
 * <p>Load pattern: configurations in quick succession, with stale or repeated reads between them.
 */
package org.boragebarrow.decision.routing;
