/** Tests of the operators' command line. */
package org.boragebarrow.ctl;
