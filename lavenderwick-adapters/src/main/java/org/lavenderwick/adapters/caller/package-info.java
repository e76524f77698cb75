/** The callers' HTTP/JSON interface: checks and parses requests, writes answers and problem documents. */
package org.lavenderwick.adapters.caller;
