/** Tests of loads and their statistics. */
package org.boragebarrow.ctl.load;
