/** Tests of the load generator and its statistics. */
package org.boragebarrow.ctl.load;
