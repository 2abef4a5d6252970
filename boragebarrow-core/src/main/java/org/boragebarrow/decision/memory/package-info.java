/** Decides which responses of targets give way when all of them need more memory than a host has for them. */
package org.boragebarrow.decision.memory;
