package peering

import (
	"reflect"
	"runtime"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// A message can take more than a hundred times its size when it is decoded: an empty record is two bytes on the wire and
// some hundred in memory. So what the parts of a message take, without their content, is computed before it is decoded,
// and reserved until the message is collected as garbage.

const (
	// listElementBytes is what an element of a list takes besides its content, with room for the list to grow.
	listElementBytes = 32
	// numberBytes is what a number in a list takes.
	numberBytes = 16
	// maxUnreservedBytes is what the parts of a message may take whose memory isn't reserved.
	maxUnreservedBytes = 64 << 10
)

// Names of the codecs of the protocol.
const (
	codecProto       = "proto"
	codecJSON        = "json"
	codecJSONCharset = "json; charset=utf-8"
)

// decodeWithin is the option that decodes messages within a budget.
func decodeWithin(memory *membudget.Budget) connect.Option { return connect.WithCodec(codec{memory}) }

// withoutJSON is the option of handlers that take no messages in JSON: they aren't bounded, and no entry sends any.
func withoutJSON() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCodec(refusingCodec{codecJSON}), connect.WithCodec(refusingCodec{codecJSONCharset}))
}

// codec encodes messages as connect does by itself, and decodes them within a budget.
type codec struct{ memory *membudget.Budget }

// Name implements connect.Codec.
func (codec) Name() string { return codecProto }

// IsBinary is called by connect.
func (codec) IsBinary() bool { return true }

// Marshal implements connect.Codec.
func (codec) Marshal(message any) ([]byte, error) { return proto.Marshal(message.(proto.Message)) }

// MarshalAppend is called by connect, which reuses its buffers.
func (codec) MarshalAppend(to []byte, message any) ([]byte, error) {
	return proto.MarshalOptions{}.MarshalAppend(to, message.(proto.Message))
}

// Unmarshal implements connect.Codec.
func (c codec) Unmarshal(data []byte, message any) error {
	m := message.(proto.Message)
	if err := c.reserve(m, partBytes(data, m.ProtoReflect().Descriptor())); err != nil {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return errors.Wrap(proto.Unmarshal(data, m), "message of a peer")
}

// reserve reserves memory until a message is collected.
func (c codec) reserve(m proto.Message, size int64) error {
	if size <= membudget.FreeBytes {
		return nil
	}
	held := c.memory.Reserve()
	if !held.Resize(size) {
		return errors.Wrapf(membudget.ErrExhausted, "parts of a message that take %d bytes", size)
	}
	switch m := m.(type) {
	case *peerv1.ExchangeRequest:
		runtime.AddCleanup(m, (*membudget.Reservation).Release, held)
	case *peerv1.ExchangeResponse:
		runtime.AddCleanup(m, (*membudget.Reservation).Release, held)
	case *peerv1.HandoverRequest:
		runtime.AddCleanup(m, (*membudget.Reservation).Release, held)
	case *peerv1.DelegateRequest:
		runtime.AddCleanup(m, (*membudget.Reservation).Release, held)
	case *peerv1.DelegateResponse:
		runtime.AddCleanup(m, (*membudget.Reservation).Release, held)
	default:
		held.Release()
		if size > maxUnreservedBytes {
			return errors.Wrapf(membudget.ErrTooLarge, "parts of a message that take %d bytes", size)
		}
	}
	return nil
}

// partBytes returns what an encoded message takes when it is decoded, without the content of its texts. What can't be
// read adds nothing: decoding it fails.
func partBytes(data []byte, of protoreflect.MessageDescriptor) int64 {
	total := structBytes(of)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			break
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(number, kind, data)
		if size < 0 {
			break
		}
		if field := of.Fields().ByNumber(number); field != nil {
			total += fieldBytes(data[:size], kind, field)
		}
		data = data[size:]
	}
	return total
}

// fieldBytes returns what a value of a field takes besides what is part of its message.
func fieldBytes(data []byte, kind protowire.Type, field protoreflect.FieldDescriptor) int64 {
	if kind != protowire.BytesType {
		if field.IsList() {
			return numberBytes
		}
		return 0
	}
	content, _ := protowire.ConsumeBytes(data)
	switch {
	case field.Message() != nil:
		return listElementBytes + partBytes(content, field.Message())
	case field.Kind() == protoreflect.StringKind || field.Kind() == protoreflect.BytesKind:
		return listElementBytes
	case field.IsList():
		return numberBytes * int64(numbers(content, field.Kind()))
	}
	return 0
}

// numbers returns how many numbers a packed list holds.
func numbers(content []byte, kind protoreflect.Kind) (count int) {
	switch kind {
	case protoreflect.Fixed32Kind, protoreflect.Sfixed32Kind, protoreflect.FloatKind:
		return len(content) / 4
	case protoreflect.Fixed64Kind, protoreflect.Sfixed64Kind, protoreflect.DoubleKind:
		return len(content) / 8
	}
	for _, b := range content {
		if b < 0x80 {
			count++
		}
	}
	return count
}

// structSizes holds the sizes of the structs of messages by their names.
var structSizes sync.Map

func structBytes(of protoreflect.MessageDescriptor) int64 {
	if size, ok := structSizes.Load(of.FullName()); ok {
		return size.(int64)
	}
	size := int64(0)
	if t, err := protoregistry.GlobalTypes.FindMessageByName(of.FullName()); err == nil {
		size = int64(reflect.TypeOf(t.Zero().Interface()).Elem().Size())
	}
	structSizes.Store(of.FullName(), size)
	return size
}

// errNoJSON refuses messages in JSON.
var errNoJSON = errors.New("entries speak no JSON")

// refusingCodec takes the place of a codec for JSON.
type refusingCodec struct{ name string }

// Name implements connect.Codec.
func (c refusingCodec) Name() string { return c.name }

// Marshal implements connect.Codec.
func (refusingCodec) Marshal(any) ([]byte, error) { return nil, errNoJSON }

// Unmarshal implements connect.Codec.
func (refusingCodec) Unmarshal([]byte, any) error { return errNoJSON }
