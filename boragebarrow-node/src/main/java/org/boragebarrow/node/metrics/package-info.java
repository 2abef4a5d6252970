/** What a host measures, in the form that operators scrape. */
package org.boragebarrow.node.metrics;
