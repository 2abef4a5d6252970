/** Interfaces to everything outside the decision logic; adapters implement them. */
package org.boragebarrow.port;
