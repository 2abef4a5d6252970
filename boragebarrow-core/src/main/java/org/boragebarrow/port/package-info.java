/** Interfaces to all systems outside the decision logic, which adapters implement. */
package org.boragebarrow.port;
