/** Open-loop load generator: sends scenarios, checks responses and reports by length class and organisation. */
package org.boragebarrow.ctl.load;
