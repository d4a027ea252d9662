/** Model servers as gapproxy speaks to them: reading, hand-over of state, writing, load, and letting go of what is held. */
package gapproxy.engine;
