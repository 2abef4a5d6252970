/** The switches with which stand-ins inject faults, and the effects that they count. */
package org.boragebarrow.standins.fault;
