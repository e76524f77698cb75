/** Which endpoint takes a statement next, how many may run there, and which statements are refused on arrival. */
package org.lavenderwick.core.dispatch;
