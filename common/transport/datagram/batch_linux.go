package datagram

import (
	"cmp"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

type (
	// header mirrors the kernel's struct mmsghdr.
	header struct {
		message unix.Msghdr
		bytes   uint32
		_       [4]byte
	}

	// vectors are the arguments of one recvmmsg or sendmmsg call. The headers point to
	// the buffers and addresses with the same index.
	vectors struct {
		headers   []header
		buffers   []unix.Iovec
		addresses []unix.RawSockaddrInet4
	}
)

// Indexes of SO_MEMINFO's values, as in the kernel's linux/sock_diag.h.
const (
	memoryInfoDrops  = 8
	memoryInfoValues = 9
)

// batcher reads and writes several datagrams in one system call.
type batcher struct {
	conn syscall.RawConn
	// read is reused by each read; only one runs at a time. emptyReads counts the attempts
	// of the last read that found no datagram.
	read       *vectors
	emptyReads int
	// writes holds the *vectors of concurrent writes.
	writes sync.Pool
}

func newBatcher(c *net.UDPConn) (*batcher, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &batcher{
		conn:   raw,
		read:   newVectors(BatchSize),
		writes: sync.Pool{New: func() any { return newVectors(BatchSize) }},
	}, nil
}

func newVectors(n int) *vectors {
	v := &vectors{
		headers:   make([]header, n),
		buffers:   make([]unix.Iovec, n),
		addresses: make([]unix.RawSockaddrInet4, n),
	}
	for i := range v.headers {
		m := &v.headers[i].message
		m.Iov = &v.buffers[i]
		m.SetIovlen(1)
		m.Name = (*byte)(unsafe.Pointer(&v.addresses[i]))
		m.Namelen = unix.SizeofSockaddrInet4
	}
	return v
}

// readBatch waits for at least one datagram and returns the number read, BatchSize at
// most. It must not be called concurrently.
func (b *batcher) readBatch(batch []Message) (int, error) {
	batch = batch[:min(len(batch), BatchSize)]
	v := b.read
	for i := range batch {
		v.buffers[i].Base = &batch[i].Buffer[0]
		v.buffers[i].SetLen(len(batch[i].Buffer))
		v.headers[i].message.Namelen = unix.SizeofSockaddrInet4
	}
	n, empty, err := b.call(b.conn.Read, unix.SYS_RECVMMSG, v, len(batch))
	b.emptyReads = empty
	for i := range n {
		batch[i].N = int(v.headers[i].bytes)
		batch[i].Peer = decodeAddress(&v.addresses[i])
	}
	return n, err
}

// readWaited reports whether the last read found no datagram at first. It must not be called
// concurrently with readBatch.
func (b *batcher) readWaited() bool { return b.emptyReads > 0 }

// lost returns how many received datagrams the kernel has dropped since the socket was opened, or
// 0 if it does not tell.
func (b *batcher) lost() uint32 {
	var values [memoryInfoValues]uint32
	size := uint32(unsafe.Sizeof(values))
	err := b.conn.Control(func(fd uintptr) {
		_, _, _ = unix.Syscall6(
			unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&size)), 0,
		)
	})
	if err != nil {
		return 0
	}
	return values[memoryInfoDrops]
}

// writeBatch sends the messages in order, BatchSize in one system call, and returns the
// number sent. A message that can't be sent, such as one to an unreachable address, keeps no others
// from being sent; the error is that of the first such message. It is safe for concurrent use.
func (b *batcher) writeBatch(batch []Message) (int, error) {
	v := b.writes.Get().(*vectors)
	defer b.writes.Put(v)
	sent, failed := 0, 0
	var firstErr error
	for sent+failed < len(batch) {
		from := sent + failed
		part := batch[from:min(from+BatchSize, len(batch))]
		for i := range part {
			v.buffers[i].Base = &part[i].Buffer[0]
			v.buffers[i].SetLen(part[i].N)
			encodeAddress(&v.addresses[i], part[i].Peer)
			v.headers[i].message.Namelen = unix.SizeofSockaddrInet4
		}
		n, _, err := b.call(b.conn.Write, unix.SYS_SENDMMSG, v, len(part))
		sent += n
		var errno syscall.Errno
		switch {
		case err == nil:
		case errors.As(err, &errno):
			failed++
			firstErr = cmp.Or(firstErr, err)
		default:
			return sent, err
		}
	}
	return sent, firstErr
}

// call makes the system call on count messages and returns the number transferred. It
// waits while the socket is not ready, and retries after an interrupt. notReady is how often
// the socket was not ready.
func (b *batcher) call(
	wait func(func(fd uintptr) bool) error, trap uintptr, v *vectors, count int,
) (n, notReady int, err error) {
	var callErr syscall.Errno
	waitErr := wait(func(fd uintptr) bool {
		for {
			done, _, errno := unix.Syscall6(
				trap, fd, uintptr(unsafe.Pointer(&v.headers[0])), uintptr(count), unix.MSG_DONTWAIT, 0, 0,
			)
			switch errno {
			case unix.EINTR:
				continue
			case unix.EAGAIN:
				notReady++
				return false
			case 0:
				n = int(done)
			default:
				callErr = errno
			}
			return true
		}
	})
	if waitErr != nil {
		return 0, notReady, waitErr
	}
	if callErr != 0 {
		return 0, notReady, callErr
	}
	return n, notReady, nil
}

func decodeAddress(a *unix.RawSockaddrInet4) netip.AddrPort {
	port := (*[2]byte)(unsafe.Pointer(&a.Port))
	return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), binary.BigEndian.Uint16(port[:]))
}

func encodeAddress(a *unix.RawSockaddrInet4, to netip.AddrPort) {
	a.Family = unix.AF_INET
	a.Addr = to.Addr().As4()
	port := (*[2]byte)(unsafe.Pointer(&a.Port))
	binary.BigEndian.PutUint16(port[:], to.Port())
}
