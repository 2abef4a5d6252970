/** Buffers whose memory is in proportion to the bytes in them. */
package org.boragebarrow.http.buffer;
