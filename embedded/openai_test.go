package embedded

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Guards against an API that the official OpenAI client cannot use: answers,
// streams with usage, the list of models, and errors.
func TestStockOpenAIClient(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f, err := Start(ctx, DefaultSpec())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	url := f.Entries["entry-jylland"].URL + "/v1"
	client := openai.NewClient(option.WithBaseURL(url), option.WithAPIKey("key-brydemaatte"))
	chatParams := func(model string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model:    model,
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which mats are free on Saturday?")},
		}
	}

	t.Run("plain", func(t *testing.T) {
		for _, model := range []string{"small", "auto"} {
			answer, err := client.Chat.Completions.New(ctx, chatParams(model))
			if err != nil {
				t.Fatal(err)
			}
			if len(answer.Choices) != 1 || answer.Choices[0].Message.Content == "" || answer.Choices[0].FinishReason != "stop" {
				t.Errorf("%s: %+v", model, answer)
			}
			if answer.Usage.TotalTokens == 0 || answer.Usage.TotalTokens != answer.Usage.PromptTokens+answer.Usage.CompletionTokens {
				t.Errorf("%s: usage %+v", model, answer.Usage)
			}
		}
	})
	t.Run("stream", func(t *testing.T) {
		params := chatParams("small")
		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		defer stream.Close()
		accumulated := openai.ChatCompletionAccumulator{}
		chunks := 0
		for stream.Next() {
			if !accumulated.AddChunk(stream.Current()) {
				t.Fatalf("chunk cannot be added to the completion: %+v", stream.Current())
			}
			chunks++
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if chunks < 3 || len(accumulated.Choices) != 1 || accumulated.Choices[0].Message.Content == "" || accumulated.Choices[0].FinishReason != "stop" || accumulated.Usage.CompletionTokens == 0 {
			t.Errorf("%d chunks: %+v", chunks, accumulated.ChatCompletion)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, m := range page.Data {
			names = append(names, m.ID)
		}
		if got := strings.Join(names, " "); got != "small medium large auto" {
			t.Errorf("models %q", got)
		}
	})
	t.Run("errors", func(t *testing.T) {
		unknownKeyClient := openai.NewClient(option.WithBaseURL(url), option.WithAPIKey("key-of-nobody"), option.WithMaxRetries(0))
		for _, c := range []struct {
			name   string
			client openai.Client
			model  string
			status int
			code   string
		}{
			{"unknown model", client, "gigantic", http.StatusNotFound, "model_unknown"},
			{"unknown key", unknownKeyClient, "small", http.StatusUnauthorized, "key_unknown"},
		} {
			_, err := c.client.Chat.Completions.New(ctx, chatParams(c.model))
			var apiErr *openai.Error
			if !errors.As(err, &apiErr) || apiErr.StatusCode != c.status || apiErr.Code != c.code || apiErr.Message == "" {
				t.Errorf("%s: %v", c.name, err)
			}
			stream := c.client.Chat.Completions.NewStreaming(ctx, chatParams(c.model))
			for stream.Next() {
				t.Errorf("%s: received a chunk of a rejected stream", c.name)
			}
			if !errors.As(stream.Err(), &apiErr) || apiErr.StatusCode != c.status {
				t.Errorf("%s: stream: %v", c.name, stream.Err())
			}
		}
	})
}
