/** The operators' HTTP API. */
package org.boragebarrow.node.admin;
