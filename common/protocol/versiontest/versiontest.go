// Package versiontest lets tests check that a process of an earlier version understands messages.
//
// # Usage
//
//	seen, err := versiontest.Without(message, "learned_costs")
package versiontest

import (
	"slices"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
)

// Error is the class of this package's errors.
var Error = errs.Class("versiontest")

// Without returns the message as a process reads it whose version of the messages has no field of
// the given name. The message is decoded by descriptors without the field, and what they don't
// describe is dropped.
func Without[M proto.Message](m M, field string) (M, error) {
	var none M
	md := m.ProtoReflect().Descriptor()
	file := protodesc.ToFileDescriptorProto(md.ParentFile())
	for _, d := range file.GetMessageType() {
		d.Field = slices.DeleteFunc(d.GetField(), func(f *descriptorpb.FieldDescriptorProto) bool {
			return f.GetName() == field
		})
	}
	earlier, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	if err != nil {
		return none, Error.Wrap(err)
	}
	read := dynamicpb.NewMessage(earlier.Messages().ByName(md.Name()))
	if err := transfer(m, read); err != nil {
		return none, err
	}
	out := m.ProtoReflect().New().Interface()
	if err := transfer(read, out); err != nil {
		return none, err
	}
	return out.(M), nil
}

// transfer encodes a message and decodes it as another one, without its unknown fields.
func transfer(from, to proto.Message) error {
	b, err := proto.Marshal(from)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, to))
}
