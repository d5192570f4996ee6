// Package stream copies between connections with pooled buffers. CopyTCP holds no buffer
// while its source is idle, so that idle flows cost little memory.
//
// # Usage
//
//	err := stream.CopyTCP(dst, tcpConn, onRead)
//	err := stream.Copy(dst, src, onRead)
//
// Both return nil at the end of the source, and errors of either side unwrapped.
package stream

import (
	"errors"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

const bufferBytes = 16 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Copy copies from src to dst until EOF, and calls onRead after each read that returned
// data. It holds a buffer until it returns.
func Copy(dst io.Writer, src io.Reader, onRead func()) error {
	b := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(b)
	for {
		n, err := src.Read(b[:])
		if n > 0 {
			onRead()
			if _, err := dst.Write(b[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// CopyTCP copies from a kernel TCP connection to dst until EOF, and calls onRead after
// each read that returned data. It holds a buffer only while there is data to copy.
func CopyTCP(dst io.Writer, src *net.TCPConn, onRead func()) error {
	raw, err := src.SyscallConn()
	if err != nil {
		return err
	}
	for {
		b, n, err := readReady(raw)
		if err != nil {
			return err
		}
		if n == 0 {
			return nil
		}
		onRead()
		_, err = dst.Write(b[:n])
		buffers.Put(b)
		if err != nil {
			return err
		}
	}
}

// rawReader is the Read method of syscall.RawConn.
type rawReader interface {
	Read(f func(fd uintptr) bool) error
}

// readReady waits for data and reads it into a pooled buffer, which the calling function
// must return to the pool if n > 0. At EOF it returns zero bytes and no buffer.
func readReady(raw rawReader) (b *[bufferBytes]byte, n int, err error) {
	waitErr := raw.Read(func(fd uintptr) bool {
		b = buffers.Get().(*[bufferBytes]byte)
		for {
			n, err = unix.Read(int(fd), b[:])
			if !errors.Is(err, unix.EINTR) {
				break
			}
		}
		if err == nil && n > 0 {
			return true
		}
		buffers.Put(b)
		b = nil
		return !errors.Is(err, unix.EAGAIN)
	})
	if waitErr != nil {
		return nil, 0, waitErr
	}
	return b, n, err
}
