package upstream

// upload is the writing of a request, which may go on while its answer is read.
//
// Linux reports the reset of a connection once, to whichever of its reader and its writer asks first. If the writer gets
// it, the next read returns a clean end of the data. So an answer that ends with its connection is whole only if the
// upload didn't fail, which isn't known before the upload has ended. (RFC 9112, section 8: such an answer is complete
// unless the connection indicated an error.) A server that half-closes the connection and reads the rest of the request
// has given a whole answer.
type upload struct {
	// done is closed when the writing has ended, with err.
	done chan struct{}
	err  error
}

// endedUpload returns an upload that has ended.
func endedUpload(err error) *upload {
	u := &upload{done: make(chan struct{}), err: err}
	close(u.done)
	return u
}

// startUpload calls write in another goroutine.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		u.err = write()
		close(u.done)
	}()
	return u
}

// wait returns the error of the upload when it has ended. Closing the connection ends it.
func (u *upload) wait() error {
	<-u.done
	return u.err
}

// complete reports whether all has been written by now.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}
