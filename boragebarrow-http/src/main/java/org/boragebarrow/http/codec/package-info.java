/** Bounds what the decoders of requests and responses hold. */
package org.boragebarrow.http.codec;
