// Package promise lets the holder of a cell go on without the store for as long as
// nobody can replace it.
//
// Each other instance greets the holder. With each answer it promises not to replace a
// holder that may be alive, for a while from when the answer came, and tells so in its
// next greeting, by the stamp that the holder gave the answer. So a greeting that is
// late, or whose answer is lost, makes the holder believe too little rather than too
// much: an answer comes after it was stamped.
//
// While the store shows no signs of life of a holder that answers, it is likely that
// nobody could be put in its place, and the promise is longer. The holder may then be
// cut off from that instance besides.
package promise
